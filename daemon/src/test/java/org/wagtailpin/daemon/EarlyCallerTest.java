package org.wagtailpin.daemon;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Callers that connect to an entry that has bound its port and is not started yet. */
class EarlyCallerTest {

  private static final int READ_MILLIS = 10_000;

  @Test
  void aCallerIsAnsweredAlsoIfNoConfigurationComes() throws Exception {
    try (Fleet fleet = new Fleet();
        EntryNode entry = new EntryNode(fleet.entrySettings("bare"));
        Socket caller = new Socket()) {
      caller.connect(entry.callerAddress(), READ_MILLIS);
      caller.setSoTimeout(READ_MILLIS);
      caller
          .getOutputStream()
          .write("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".getBytes(UTF_8));

      entry.start();
      String answer = new String(caller.getInputStream().readAllBytes(), UTF_8);

      assertThat(answer).startsWith("HTTP/1.1 503 ");
    }
  }
}
