package org.wagtailpin.hostlist;

import static com.google.common.truth.Truth.assertWithMessage;

import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.junit.jupiter.api.Test;
import org.wagtailpin.json.NestedText;

class HttpHostListTest {

  private static final long TEST_TIMEOUT_SECONDS = 30;

  // Guards against an answer that throws instead of failing the call: the poller would never poll
  // again.
  @Test
  void anAnswerThatIsNestedTooDeeplyIsAFailedCall() throws Exception {
    AtomicReference<byte[]> answer = new AtomicReference<>();
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/hosts",
        exchange -> {
          exchange.sendResponseHeaders(200, answer.get().length);
          exchange.getResponseBody().write(answer.get());
          exchange.close();
        });
    server.start();
    try (AsyncHttpClient client = Dsl.asyncHttpClient()) {
      HttpHostList list =
          new HttpHostList(client, URI.create("http://127.0.0.1:" + server.getAddress().getPort()));
      for (NestedText nested : NestedText.all()) {
        answer.set(nested.bytes());

        assertWithMessage(nested.description())
            .that(list.list().orTimeout(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS).join())
            .isInstanceOf(HostListResult.Failed.class);
      }
    } finally {
      server.stop(0);
    }
  }
}
