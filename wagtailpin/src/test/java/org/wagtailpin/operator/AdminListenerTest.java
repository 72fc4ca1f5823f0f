package org.wagtailpin.operator;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.PublishedConfig;
import org.wagtailpin.config.VersionedObject;

class AdminListenerTest {

  private record Numbers(int one, List<String> names) {}

  private static final class NumbersPart implements StatusPart {
    @Override
    public String name() {
      return "numbers";
    }

    @Override
    public Record current() {
      return new Numbers(1, List.of("a", "b"));
    }
  }

  private record Unknowns(Optional<String> known, Optional<Long> unknown) {}

  private static final class UnknownsPart implements StatusPart {
    @Override
    public String name() {
      return "unknowns";
    }

    @Override
    public Record current() {
      return new Unknowns(Optional.of("a"), Optional.empty());
    }
  }

  private static final class BrokenPage implements AdminPage {
    @Override
    public String path() {
      return "/broken";
    }

    @Override
    public AdminAnswer answer() {
      throw new IllegalStateException("no state yet");
    }
  }

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final ConfigMerger merger =
      new ConfigMerger(new ManualClock(5000), new MergedConfig(), new PublishedConfig());
  private final HttpClient http = HttpClient.newHttpClient();
  private Optional<String> notReadyReason = Optional.of("no configuration");
  private final AdminListener listener =
      new AdminListener(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          List.of(
              new HealthPage(),
              new ReadyPage(() -> notReadyReason),
              new MetricsPage(registry),
              new StatusPage(
                  List.of(
                      new NumbersPart(), new ConfigStatusPart(merger::report), new UnknownsPart())),
              new ConfigPage(merger::report),
              new BrokenPage()));

  @BeforeEach
  void start() {
    listener.start();
  }

  @AfterEach
  void stop() {
    listener.close();
  }

  private HttpResponse<String> call(String method, String path)
      throws IOException, InterruptedException {
    URI uri = URI.create("http://127.0.0.1:" + listener.address().getPort() + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri).method(method, HttpRequest.BodyPublishers.noBody()).build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  @Test
  void readinessFollowsItsSource() throws Exception {
    assertThat(call("GET", "/readyz").statusCode()).isEqualTo(503);
    assertThat(call("GET", "/readyz").body()).isEqualTo("not ready: no configuration\n");
    assertThat(call("GET", "/healthz").statusCode()).isEqualTo(200);

    notReadyReason = Optional.empty();
    assertThat(call("GET", "/readyz").statusCode()).isEqualTo(200);
  }

  @Test
  void metricsAreServedAsText() throws Exception {
    Counter.builder().name("calls_total").help("Calls.").register(registry).inc(3);

    HttpResponse<String> response = call("GET", "/metrics");

    assertThat(response.body()).contains("calls_total 3.0");
    assertThat(response.headers().firstValue("content-type").get()).startsWith("text/plain");
  }

  @Test
  void theStatusHasAKeyForEachPart() throws Exception {
    ConfigService service = new ConfigService("s", false, List.of(), Optional.empty());
    merger.mergeFromPeer(
        List.of(new VersionedObject(service.id(), 7, Optional.of(service))), "entry-2");

    String body = call("GET", "/status?x=1").body().replaceAll("\\s", "");

    assertThat(body).startsWith("{\"numbers\":{\"one\":1,\"names\":[\"a\",\"b\"]},\"config\":{");
    assertThat(body)
        .contains(
            "\"highestTicket\":7,\"ticketFloor\":0,\"objects\":1,\"source\":\"peer\","
                + "\"peer\":\"entry-2\",\"sinceWallMillis\":5000");
  }

  @Test
  void theStatusWritesWhatIsNotKnownAsNull() throws Exception {
    String body = call("GET", "/status").body().replaceAll("\\s", "");

    assertThat(body).contains("\"unknowns\":{\"known\":\"a\",\"unknown\":null}");
  }

  @Test
  void theConfigurationPageNamesTheTicketOfEachObject() throws Exception {
    ConfigService service = new ConfigService("s", false, List.of(), Optional.empty());
    merger.mergeFromStore(List.of(new VersionedObject(service.id(), 7, Optional.empty())));

    assertThat(call("GET", "/config").body())
        .contains(
            "\"objects\":[{\"kind\":\"service\",\"name\":\"s\",\"ticket\":7,\"removed\":true}]");
  }

  @Test
  void anUnknownPathListsThePages() throws Exception {
    HttpResponse<String> response = call("GET", "/nothing");

    assertThat(response.statusCode()).isEqualTo(404);
    assertThat(response.body())
        .isEqualTo("pages: /healthz /readyz /metrics /status /config /broken\n");
  }

  @Test
  void onlyGetAndHeadAreAllowed() throws Exception {
    assertThat(call("POST", "/status").statusCode()).isEqualTo(405);
    assertThat(call("HEAD", "/healthz").statusCode()).isEqualTo(200);
    assertThat(call("HEAD", "/healthz").body()).isEmpty();
  }

  @Test
  void aFailingPageDoesNotAffectOtherPages() throws Exception {
    HttpResponse<String> response = call("GET", "/broken");

    assertThat(response.statusCode()).isEqualTo(500);
    assertThat(response.body()).isEqualTo("the page failed: no state yet\n");
    assertThat(call("GET", "/healthz").statusCode()).isEqualTo(200);
  }
}
