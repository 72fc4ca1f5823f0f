package org.wagtailpin.backend;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wagtailpin.routing.LimitStatement;

class RequestLimitHeaderTest {

  @ParameterizedTest
  @ValueSource(strings = {"3.7", " 3.7 ", "03.70"})
  void aDecimalNumberIsALimit(String value) {
    assertThat(RequestLimitHeader.parse(200, value)).isEqualTo(new LimitStatement.Limited(3.7));
  }

  @Test
  void anAnswerWithoutTheHeaderNamesNoLimit() {
    assertThat(RequestLimitHeader.parse(200, null)).isEqualTo(new LimitStatement.Unlimited());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "-1",
        "1e9",
        "NaN",
        "Infinity",
        "1.2.3",
        ".",
        "3,5",
        "0x1p3",
        "12345678901234567890123456789012345"
      })
  void anyOtherValueStatesNothing(String value) {
    assertThat(RequestLimitHeader.parse(200, value)).isEqualTo(new LimitStatement.Unknown());
  }

  @ParameterizedTest
  @ValueSource(ints = {400, 429, 500, 503})
  void anErrorWithoutTheHeaderDoesNotEndALimit(int status) {
    assertThat(RequestLimitHeader.parse(status, null)).isEqualTo(new LimitStatement.Unknown());
    assertThat(RequestLimitHeader.parse(status, "2")).isEqualTo(new LimitStatement.Limited(2));
  }

  @Test
  void anotherServerAtTheAddressStatesNothing() {
    assertThat(RequestLimitHeader.parse(421, "2")).isEqualTo(new LimitStatement.Unknown());
    assertThat(RequestLimitHeader.parse(421, null)).isEqualTo(new LimitStatement.Unknown());
  }
}
