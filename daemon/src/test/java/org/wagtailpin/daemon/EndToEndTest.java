package org.wagtailpin.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.TicketResult;
import org.wagtailpin.standins.backend.BackendServerStandIn;
import org.wagtailpin.standins.backend.ServerFaults;

class EndToEndTest {

  private final HttpClient http = HttpClient.newHttpClient();

  private static URI uri(EntryNode entry, String path) {
    return URI.create("http://127.0.0.1:" + entry.callerAddress().getPort() + path);
  }

  private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  @Test
  void aCallIsAnsweredOnceATicketIsAccepted() throws Exception {
    try (Fleet fleet = new Fleet()) {
      fleet.addServer(6, 2);
      EntryNode entry = fleet.addEntry();

      assertThat(fleet.acceptService(1)).isInstanceOf(TicketResult.Accepted.class);
      Fleet.awaitTrue("entry ready", entry::ready);
      HttpResponse<String> answer =
          send(HttpRequest.newBuilder(uri(entry, "/a")).header("X-Work-Id", "w1"));

      assertThat(answer.statusCode()).isEqualTo(200);
      assertThat(answer.body()).contains("\"work\":\"w1\"");
      assertThat(fleet.executionCounter().runsOf("w1")).isEqualTo(1);
    }
  }

  @Test
  void aPostThatAServerReadsAndDropsRunsOnceAndItsOutcomeIsUnknown() throws Exception {
    try (Fleet fleet = new Fleet()) {
      BackendServerStandIn server = fleet.addServer(6, 2);
      fleet.addServer(6, 2).setFaults(ServerFaults.none().withCloseWithoutAnswer(true));
      server.setFaults(ServerFaults.none().withCloseWithoutAnswer(true));
      EntryNode entry = fleet.addEntry();
      fleet.acceptService(1);
      Fleet.awaitTrue("entry ready", entry::ready);

      HttpResponse<String> answer =
          send(
              HttpRequest.newBuilder(uri(entry, "/a"))
                  .header("X-Work-Id", "w1")
                  .POST(HttpRequest.BodyPublishers.ofString("order")));

      assertThat(answer.headers().firstValue("Wagtailpin-Outcome")).hasValue("unknown");
      assertThat(fleet.executionCounter().runsOf("w1")).isEqualTo(1);
    }
  }

  @Test
  void oneKeySentToTwoEntriesRunsOnce() throws Exception {
    try (Fleet fleet = new Fleet()) {
      fleet.addServer(6, 2);
      EntryNode one = fleet.addEntry();
      EntryNode other = fleet.addEntry();
      fleet.acceptService(1);
      Fleet.awaitTrue("entries ready", () -> one.ready() && other.ready());

      HttpResponse<String> first = send(keyed(one));
      HttpResponse<String> second = send(keyed(other));

      assertThat(first.statusCode()).isEqualTo(200);
      assertThat(second.body()).isEqualTo(first.body());
      assertThat(fleet.executionCounter().runsOf("quiz-1")).isEqualTo(1);
    }
  }

  private static HttpRequest.Builder keyed(EntryNode entry) {
    return HttpRequest.newBuilder(uri(entry, "/quiz/1"))
        .header("X-Work-Id", "quiz-1")
        .header("Idempotency-Key", "answer-1")
        .POST(HttpRequest.BodyPublishers.ofString("b"));
  }
}
