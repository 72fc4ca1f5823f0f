package org.wagtailpin.claims;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailpin.store.memory.MemoryStore;

/** Claims whose log is lost when the store is restored from an older copy. */
class RestoredClaimsTest {

  private final ClaimFixture fixture = new ClaimFixture();
  private final ClaimEntry entry = fixture.start("e1", List.of("e1"));

  // Guards against work that is dispatched twice as its claim is not in the copy.
  @Test
  void noKeyIsGrantedWithinTheWindowAfterARestore() {
    MemoryStore.Copy copy = fixture.memory().copy();
    assertThat(fixture.claim(entry, "k")).isInstanceOf(ClaimResult.Granted.class);
    fixture.memory().restore(copy);

    assertThat(fixture.claim(entry, "k")).isNotInstanceOf(ClaimResult.Granted.class);
    assertThat(fixture.claim(entry, "other")).isNotInstanceOf(ClaimResult.Granted.class);
    fixture.timeline().advance(ClaimFixture.WINDOW_MILLIS / 2);
    assertThat(fixture.claim(entry, "k")).isNotInstanceOf(ClaimResult.Granted.class);

    fixture.timeline().advance(ClaimFixture.WINDOW_MILLIS);
    assertThat(fixture.claim(entry, "other")).isInstanceOf(ClaimResult.Granted.class);
  }

  @Test
  void theLogOfTheCopyIsContinuedAfterTheWindow() {
    fixture.claim(entry, "first");
    MemoryStore.Copy copy = fixture.memory().copy();
    fixture.claim(entry, "second");
    fixture.memory().restore(copy);
    fixture.claim(entry, "third");
    fixture.timeline().advance(2 * ClaimFixture.WINDOW_MILLIS);

    assertThat(fixture.claim(entry, "fourth")).isInstanceOf(ClaimResult.Granted.class);
    assertThat(fixture.claim(entry, "fourth")).isInstanceOf(ClaimResult.AlreadyDispatched.class);
  }

  @Test
  void twoRestoresInARowBeginTheWindowAnew() {
    MemoryStore.Copy copy = fixture.memory().copy();
    fixture.claim(entry, "k");
    fixture.memory().restore(copy);
    fixture.claim(entry, "k");
    fixture.timeline().advance(ClaimFixture.WINDOW_MILLIS / 2);
    fixture.memory().restore(copy);
    fixture.claim(entry, "k");
    fixture.timeline().advance(ClaimFixture.WINDOW_MILLIS / 2);

    assertThat(fixture.claim(entry, "k")).isNotInstanceOf(ClaimResult.Granted.class);
  }
}
