package org.wagtailpin.tools;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.ConfigKind;
import org.wagtailpin.config.ConfigObject;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.Ticket;
import org.wagtailpin.config.TicketChecker;
import org.wagtailpin.config.TicketReadResult;
import org.wagtailpin.config.TicketReader;

class DocumentedTicketTest {

  private static final Path PAGE = Path.of("..", "docs", "operations", "tickets.md");
  private static final String BLOCK_START = "```json\n";

  @Test
  void theTicketOfTheOperatorsPageIsAcceptedAndShowsEveryKind() throws IOException {
    String page = Files.readString(PAGE);
    int start = page.indexOf(BLOCK_START) + BLOCK_START.length();
    String text = page.substring(start, page.indexOf("```", start));

    TicketReadResult result = new TicketReader().read("tickets.md", text.getBytes(UTF_8));

    assertWithMessage("%s", result).that(result).isInstanceOf(TicketReadResult.Read.class);
    Ticket ticket = ((TicketReadResult.Read) result).ticket();
    assertThat(new TicketChecker().check(ticket, new MergedConfig())).isEmpty();
    Set<ConfigKind> shown = new HashSet<>();
    ticket.objects().stream().map(ConfigObject::kind).forEach(shown::add);
    assertThat(shown)
        .containsExactlyElementsIn(
            List.of(ConfigKind.values()).stream().filter(ConfigKind::isAllowedInTickets).toList());
  }
}
