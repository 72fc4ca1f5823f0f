package org.wagtailpin.tools;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.wagtailpin.daemon.EntrySettings;
import org.wagtailpin.daemon.SettingsReadResult;
import org.wagtailpin.daemon.SettingsReader;

/** Compares the settings on the operators' page with the code that reads them. */
class DocumentedSettingsTest {

  private static final Path ROOT = Path.of("..");

  private final SettingsReader reader = new SettingsReader();

  private static String page() throws IOException {
    return Files.readString(ROOT.resolve("docs/OPERATIONS.md"));
  }

  @Test
  void operatorsPageListsEverySetting() throws IOException {
    for (RecordComponent setting : EntrySettings.class.getRecordComponents()) {
      assertWithMessage(setting.getName()).that(page()).contains("`" + setting.getName() + "`");
    }
  }

  @Test
  void theExampleOnTheOperatorsPageIsRead() throws IOException {
    String page = page();
    int start = page.indexOf("    {\n      \"id\"");
    int end = page.indexOf("\n    }\n", start) + "\n    }\n".length();

    SettingsReadResult result = reader.read("page", page.substring(start, end).getBytes(UTF_8));

    assertThat(result).isInstanceOf(SettingsReadResult.Read.class);
  }

  @Test
  void theExampleSiteIsRead() throws IOException {
    byte[] text = Files.readAllBytes(ROOT.resolve("examples/site/entry.json"));

    assertThat(reader.read("entry.json", text)).isInstanceOf(SettingsReadResult.Read.class);
  }

  @Test
  void anUnknownKeyIsReportedWithItsPosition() {
    byte[] text = "{\n  \"id\": \"e\",\n  \"colour\": 1}".getBytes(UTF_8);

    SettingsReadResult.Malformed result = (SettingsReadResult.Malformed) reader.read("f", text);

    assertThat(result.problems().toString()).contains("colour");
    assertThat(result.problems().toString()).contains("f:3");
  }
}
