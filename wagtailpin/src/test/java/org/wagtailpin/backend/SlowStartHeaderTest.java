package org.wagtailpin.backend;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.ConfigServer;

class SlowStartHeaderTest {

  private static final AsciiString NAME = AsciiString.cached("slow-start-ms");

  private static Optional<Long> read(int status, String... values) {
    HttpHeaders headers = new DefaultHttpHeaders();
    for (String value : values) {
      headers.add(NAME, value);
    }
    return SlowStartHeader.read(status, headers, Optional.of(NAME));
  }

  @Test
  void aWholeNumberStatesTheRemainingTimeUpToAnHour() {
    assertThat(read(200, "1500")).hasValue(1_500L);
    assertThat(read(503, "1500")).hasValue(1_500L);
    assertThat(read(200, "0")).hasValue(0L);
    assertThat(read(200, "999999999")).hasValue((long) ConfigServer.MAX_SLOW_START_MILLIS);
  }

  /** Guards against a slow start that ends because of an error or of a damaged value. */
  @Test
  void onlyASuccessWithoutTheHeaderStatesThatTheServerIsNotCold() {
    assertThat(read(200)).hasValue(0L);
    assertThat(read(503)).isEmpty();
    for (String damaged : new String[] {"", "-1", "1.5", "1e3", "9999999999", "soon"}) {
      assertThat(read(200, damaged)).isEmpty();
    }
    assertThat(SlowStartHeader.read(200, new DefaultHttpHeaders(), Optional.empty())).isEmpty();
  }
}
