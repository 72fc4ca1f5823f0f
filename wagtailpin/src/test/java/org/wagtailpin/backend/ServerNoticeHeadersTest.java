package org.wagtailpin.backend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailpin.routing.ServerNotice;
import org.wagtailpin.transport.HttpDialect;

class ServerNoticeHeadersTest {

  private static final HttpDialect STANDARD = HttpDialect.standard();
  private static final HttpDialect DIALECT =
      new HttpDialect(
          STANDARD.requestId(),
          STANDARD.callerTimeout(),
          STANDARD.deadline(),
          STANDARD.load(),
          STANDARD.loadFormat(),
          STANDARD.requestLimit(),
          STANDARD.attempt(),
          STANDARD.target(),
          STANDARD.signature(),
          Optional.of(AsciiString.of("Instance")),
          false,
          STANDARD.notRunStatuses(),
          false,
          false,
          false,
          Optional.empty(),
          Optional.empty(),
          Optional.of(AsciiString.of("Server-Leaving")),
          Optional.of(AsciiString.of("Retry-After")));

  private static ServerNotice parse(int status, HttpHeaders headers) {
    return ServerNoticeHeaders.parse("s1", status, headers, DIALECT);
  }

  private static double pause(String value) {
    return parse(503, new DefaultHttpHeaders().add("Retry-After", value)).pauseMillis();
  }

  @Test
  void aPauseIsANumberOfSecondsOrNothing() {
    Map<String, Double> expected =
        Map.ofEntries(
            Map.entry("0", 0.0),
            Map.entry("3", 3_000.0),
            Map.entry("1.5", 1_500.0),
            Map.entry("0.25", 250.0),
            Map.entry("301", 300_000.0),
            Map.entry("99999999999999999999", 300_000.0),
            Map.entry("-1", 0.0),
            Map.entry("+1", 0.0),
            Map.entry("1e3", 0.0),
            Map.entry("NaN", 0.0),
            Map.entry("Infinity", 0.0),
            Map.entry("", 0.0),
            Map.entry("1, 2", 0.0),
            Map.entry("1.2.3", 0.0),
            Map.entry("Wed, 21 Oct 2026 07:28:00 GMT", 0.0));
    expected.forEach(
        (value, millis) -> assertWithMessage(value).that(pause(value)).isEqualTo(millis));
  }

  @Test
  void aPauseIsOnlyTakenFromOneHeaderOfAnAnswerWithStatus503() {
    HttpHeaders twice = new DefaultHttpHeaders().add("Retry-After", "1").add("Retry-After", "1");
    HttpHeaders once = new DefaultHttpHeaders().add("Retry-After", "1");

    assertThat(parse(503, twice).pauseMillis()).isEqualTo(0);
    assertThat(parse(429, once).pauseMillis()).isEqualTo(0);
    assertThat(parse(200, once).pauseMillis()).isEqualTo(0);
    assertThat(parse(503, once).pauseMillis()).isEqualTo(1_000);
  }

  // Guards against a server that is given up for what another one at its address states.
  @Test
  void anAnswerOfAnotherServerStatesNothing() {
    HttpHeaders headers =
        new DefaultHttpHeaders().add("Server-Leaving", "1").add("Retry-After", "9");

    assertThat(parse(421, headers)).isEqualTo(ServerNotice.none());
    assertThat(parse(503, headers.copy().add("Instance", "s2"))).isEqualTo(ServerNotice.none());
    assertThat(parse(503, headers.copy().add("Instance", "s1")))
        .isEqualTo(new ServerNotice(true, 9_000));
  }

  @Test
  void onlyTheValueOneStatesThatAServerLeaves() {
    for (int status : new int[] {200, 404, 500, 503}) {
      assertThat(parse(status, new DefaultHttpHeaders().add("Server-Leaving", "1")).leaving())
          .isTrue();
      assertThat(parse(status, new DefaultHttpHeaders().add("Server-Leaving", "0")).leaving())
          .isFalse();
    }
  }
}
