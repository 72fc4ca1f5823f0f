package org.wagtailpin.store;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.Response;
import org.junit.jupiter.api.Test;
import org.wagtailpin.call.RawServer;

class StoreHttpClientTest {

  private static final StoreTimeouts TIMEOUTS = new StoreTimeouts(3_000, 3_000);

  private static CompletableFuture<Response> answerWith(String status) throws Exception {
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  to.send("HTTP/1.1 " + status + " Status\r\nContent-Length: 2\r\n\r\n{}");
                  return true;
                });
        StoreHttpClient client = new StoreHttpClient(TIMEOUTS)) {
      return client
          .client()
          .prepareGet("http://127.0.0.1:" + server.port() + "/k")
          .execute()
          .toCompletableFuture()
          .handle(
              (response, failure) ->
                  failure == null
                      ? CompletableFuture.completedFuture(response)
                      : CompletableFuture.<Response>failedFuture(failure))
          .get();
    }
  }

  // Guards against an answer of the store that is accepted although its status is no status code:
  // a lenient reader takes 0200 and +200 for 200.
  @Test
  void anAnswerWithAnInvalidStatusIsAFailure() throws Exception {
    for (String status : List.of("000", "099", "20", "600", "0200", "+200", "+404", "2x0")) {
      assertWithMessage(status).that(answerWith(status).isCompletedExceptionally()).isTrue();
    }
  }

  @Test
  void anAnswerWithAValidStatusIsReturned() throws Exception {
    for (String status : List.of("200", "404", "599")) {
      assertThat(answerWith(status).join().getStatusCode()).isEqualTo(Integer.parseInt(status));
    }
  }
}
