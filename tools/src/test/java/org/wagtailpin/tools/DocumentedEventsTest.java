package org.wagtailpin.tools;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.wagtailpin.eventlog.EventKind;

/** Compares the table of events on the operators' page with the event kinds in the code. */
class DocumentedEventsTest {

  private static final Pattern ROW =
      Pattern.compile("^\\| `([a-z-]+)` \\| ((?:`[A-Za-z]+`(?:, )?)*) \\| ", Pattern.MULTILINE);

  private static String page() throws IOException {
    return Files.readString(Path.of("../docs/OPERATIONS.md"));
  }

  @Test
  void operatorsPageListsEveryEventWithItsFields() throws IOException {
    for (EventKind kind : EventKind.values()) {
      String fields =
          kind.fields().stream().map(field -> "`" + field + "`").collect(Collectors.joining(", "));
      assertWithMessage(kind.label())
          .that(page())
          .contains("| `" + kind.label() + "` | " + fields + " | ");
    }
  }

  @Test
  void operatorsPageListsNoOtherEvent() throws IOException {
    String page = page();
    int start = page.indexOf("| Event | Fields | When |");
    Matcher rows = ROW.matcher(page.substring(start, page.indexOf("**Bounds.**")));
    List<String> named = new ArrayList<>();
    while (rows.find()) {
      named.add(rows.group(1));
    }

    List<String> listed = new ArrayList<>();
    for (EventKind kind : EventKind.values()) {
      listed.add(kind.label());
    }
    assertThat(named).containsExactlyElementsIn(listed).inOrder();
  }
}
