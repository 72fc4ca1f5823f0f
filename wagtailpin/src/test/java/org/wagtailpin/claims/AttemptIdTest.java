package org.wagtailpin.claims;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class AttemptIdTest {

  @Test
  void parsesItsOwnTextForm() {
    AttemptId attempt = new AttemptId("savo/7", -3, 41);

    assertThat(AttemptId.parse(attempt.text())).hasValue(attempt);
  }

  @Test
  void rejectsOtherTexts() {
    for (String text : new String[] {"", "a", "a/b", "/1/2", "a/b/", "a//b", "a/1/-"}) {
      assertThat(AttemptId.parse(text)).isEmpty();
    }
  }
}
