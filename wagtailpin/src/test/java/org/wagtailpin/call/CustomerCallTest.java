package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;

/** Tests which customer a request is attributed to, and at which stages a removed key counts. */
class CustomerCallTest {

  private RawServer.Script script = (request, to) -> to.answer(request, "", "first");
  private RawServer first;
  private RawServer second;
  private CustomerEntry entry;

  @BeforeEach
  void start() throws Exception {
    first = new RawServer((request, to) -> script.serve(request, to));
    second = new RawServer((request, to) -> to.answer(request, "", "second"));
    entry = new CustomerEntry(first.port(), second.port());
    entry.customers("k1", "k2");
  }

  @AfterEach
  void stop() throws Exception {
    entry.close();
    first.close();
    second.close();
  }

  private static String key(String key) {
    return "X-Api-Key: " + key + "\r\n";
  }

  private int received() {
    return first.requests().size() + second.requests().size();
  }

  /** Guards against a key or a forged name that reaches a server in an unusual spelling. */
  @Test
  void serversGetTheNameOfTheCustomerAndNeverTheKeyOrANameFromTheCaller() throws Exception {
    List<String> spellings =
        List.of(
            key("k1"),
            "x-api-KEY: k1\r\nX-API-Key: k1\r\n",
            key("k1") + "Connection: x-api-key\r\n",
            key("k1") + "Wagtailpin-Tenant: other\r\nWAGTAILPIN-TENANT: k2\r\n",
            "wagtailpin-tenant: customer-k2\r\n" + key("k1") + "wagtailpin-tenant : x\r\n");
    for (String headers : spellings) {
      entry.call("GET", "/x", headers);
    }

    assertThat(first.requests()).isNotEmpty();
    for (RawHttpMessage request : first.requests()) {
      assertThat(request.header("wagtailpin-tenant")).isEqualTo("customer-k1");
      assertThat(request.head().toLowerCase(Locale.ROOT)).doesNotContain("api-key");
      assertThat(request.head()).doesNotContain("customer-k2");
    }
  }

  @Test
  void requestsWithoutOneKnownKeyAreRefusedAndNotRun() throws Exception {
    List<String> refused =
        List.of("", key("k3"), key("K1"), key("k1, k2"), key("k1") + key("k2"), key("Bearer k1"));
    for (String headers : refused) {
      RawHttpMessage answer = entry.call("GET", "/x", headers);
      assertThat(answer.status()).isEqualTo(401);
      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("not-run");
      assertThat(answer.text()).doesNotContain("k3");
    }
    assertThat(received()).isEqualTo(0);
  }

  @Test
  void aPublicRouteNeedsNoKeyAndNamesNoCustomerThatTheCallerMadeUp() throws Exception {
    assertThat(entry.call("GET", "/open", "Wagtailpin-Tenant: k2\r\n").status()).isEqualTo(200);
    assertThat(entry.call("GET", "/open", key("k3")).status()).isEqualTo(200);

    for (RawHttpMessage request : first.requests()) {
      assertThat(request.header("wagtailpin-tenant")).isEmpty();
      assertThat(request.header("x-api-key")).isEmpty();
    }
  }

  /** Guards against deployments without customers whose requests change. */
  @Test
  void withoutCustomersHeadersPassThrough() throws Exception {
    entry.customers();

    assertThat(entry.call("GET", "/x", key("any")).status()).isEqualTo(200);

    assertThat(first.requests().get(0).header("x-api-key")).isEqualTo("any");
  }

  @Test
  void anEntryWithoutConfigurationRefusesWithoutJudgingTheKey() throws Exception {
    try (CustomerEntry unconfigured = new CustomerEntry(first.port())) {
      assertThat(unconfigured.call("GET", "/x", key("k3")).status()).isEqualTo(503);
    }
  }

  @Test
  void aRequestWhoseKeyIsRemovedWhileItIsQueuedIsNotSent() throws Exception {
    entry.placement.hold();
    try (RawCaller caller = entry.caller()) {
      caller.send("GET /x HTTP/1.1\r\nHost: a\r\n" + key("k1") + "\r\n");
      Polling.until(() -> entry.placement.held() == 1);
      entry.customers("k2");
      entry.placement.release();

      assertThat(caller.read().status()).isEqualTo(401);
    }
    assertThat(received()).isEqualTo(0);
  }

  @Test
  void aRequestWhoseKeyIsRemovedBeforeItsRetryIsNotSentAgain() throws Exception {
    script =
        (request, to) -> {
          entry.customers("k2");
          to.send(
              "HTTP/1.1 503 No\r\nWagtailpin-Refused: not-run\r\nWagtailpin-Attempt: "
                  + request.header("wagtailpin-attempt")
                  + "\r\nContent-Length: 0\r\n\r\n");
          return true;
        };

    assertThat(entry.call("POST", "/x", key("k1")).status()).isEqualTo(401);
    assertThat(second.requests()).isEmpty();
  }

  /** Guards against an answer that claims that a request was not run although it may have been. */
  @Test
  void aRemovedKeyDoesNotHideThatAnEarlierAttemptMayHaveRun() throws Exception {
    script =
        (request, to) -> {
          entry.customers("k2");
          return to.reset();
        };

    RawHttpMessage answer = entry.call("GET", "/x", key("k1"));

    assertThat(answer.status()).isEqualTo(502);
    assertThat(answer.header("wagtailpin-outcome")).isEqualTo("unknown");
    assertThat(second.requests()).isEmpty();
  }

  @Test
  void aRequestWhoseKeyIsRemovedWhileItsBodyIsReadIsNotSent() throws Exception {
    try (RawCaller caller = entry.caller()) {
      caller.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n" + key("k1") + "\r\nab");
      Polling.until(() -> !entry.events.of(EventKind.ADMITTED).isEmpty());
      entry.customers("k2");
      caller.send("cd");

      assertThat(caller.read().status()).isEqualTo(401);
    }
    assertThat(received()).isEqualTo(0);
  }

  @Test
  void anOpenConnectionIsSubjectToTheKeysInForceAtEachRequest() throws Exception {
    try (RawCaller caller = entry.caller()) {
      assertThat(caller.call("GET", "/x", key("k1"), "").status()).isEqualTo(200);
      entry.customers("k2");
      assertThat(caller.call("GET", "/x", key("k1"), "").status()).isEqualTo(401);
      assertThat(caller.call("GET", "/x", key("k2"), "").status()).isEqualTo(200);
    }
  }

  /** Guards against keys in the log, and against a log that callers can fill. */
  @Test
  void refusedKeysAreLoggedByHashAndOnlyInASample() throws Exception {
    for (int i = 0; i < 20; i++) {
      entry.call("GET", "/x", key("secret-key"));
    }

    List<Event> lines = entry.events.of(EventKind.KEY_REFUSED);
    assertThat(lines).isNotEmpty();
    assertThat(lines.size()).isLessThan(20);
    for (Event line : lines) {
      assertThat(line.value("keyHash").orElseThrow().toString()).matches("[0-9a-f]{8}");
    }
    for (Event line : entry.events.of(EventKind.UNREAD)) {
      assertThat(line.value("detail").orElseThrow().toString()).doesNotContain("secret");
    }
  }
}
