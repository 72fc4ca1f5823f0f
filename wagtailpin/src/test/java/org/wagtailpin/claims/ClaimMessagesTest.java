package org.wagtailpin.claims;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;

class ClaimMessagesTest {

  private static HeldOutcome received(int status) {
    HeldAnswer answer = new HeldAnswer(status, List.of(), new byte[0]);
    return ClaimMessages.heldOutcome(ClaimMessages.heldReply(new HeldOutcome.Held(answer)).build());
  }

  // Guards against a status from another entry that is no status code and would be replayed.
  @Test
  void aHeldAnswerWithAnInvalidStatusIsNotUsed() {
    for (int status : new int[] {0, 20, 99, 100, 199, 600, 999, -200, 65_536}) {
      assertWithMessage("%s", status)
          .that(received(status))
          .isInstanceOf(HeldOutcome.NotHeld.class);
    }
  }

  @Test
  void aHeldAnswerKeepsItsStatus() {
    HeldOutcome.Held held = (HeldOutcome.Held) received(599);

    assertThat(held.answer().status()).isEqualTo(599);
  }
}
