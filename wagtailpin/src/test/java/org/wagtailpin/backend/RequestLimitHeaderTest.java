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
    assertThat(RequestLimitHeader.parse(value)).isEqualTo(new LimitStatement.Limited(3.7));
  }

  @Test
  void anAnswerWithoutTheHeaderNamesNoLimit() {
    assertThat(RequestLimitHeader.parse(null)).isEqualTo(new LimitStatement.Unlimited());
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
    assertThat(RequestLimitHeader.parse(value)).isEqualTo(new LimitStatement.Unknown());
  }
}
