package org.wagtailpin.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.Clock;

class ConfigMergerTest {

  private static final VersionedObject SERVICE =
      new VersionedObject(
          new ObjectId(ConfigKind.SERVICE, "work"),
          7,
          Optional.of(new ConfigService("work", true, List.of(), Optional.empty())));

  private final FailingClock clock = new FailingClock();
  private final PublishedConfig published = new PublishedConfig();
  private final ConfigMerger merger = new ConfigMerger(clock, new MergedConfig(), published);
  private final List<Long> told = new ArrayList<>();

  /** A clock that fails once, as anything may for lack of memory. */
  private static final class FailingClock implements Clock {
    private boolean failing;

    @Override
    public long millis() {
      return 0;
    }

    @Override
    public double exactMillis() {
      return 0;
    }

    @Override
    public long wallMillis() {
      if (failing) {
        failing = false;
        throw new IllegalStateException("test");
      }
      return 1;
    }
  }

  @BeforeEach
  void failOnce() {
    merger.addListener(merged -> told.add(merged.highestTicket()));
    clock.failing = true;
    assertThrows(IllegalStateException.class, () -> merger.mergeFromStore(List.of(SERVICE)));
  }

  private void assertPublished() {
    assertThat(published.current().service("work")).isPresent();
    assertThat(merger.report().highestTicket()).isEqualTo(7);
    assertThat(merger.origin().source()).isEqualTo(ConfigOrigin.Source.STORE);
    assertThat(told).containsExactly(7L);
  }

  // Guards against a version that counts as held but that nobody was told of: the same state, read
  // again, is not newer than the one held.
  @Test
  void aChangeWhosePublicationFailedIsPublishedWithTheNextMergeOfTheSameState() {
    merger.mergeFromStore(List.of(SERVICE));

    assertPublished();
  }

  @Test
  void aChangeWhosePublicationFailedIsMadeUpForWithoutAnyMerge() {
    merger.publishMissed();
    merger.publishMissed();

    assertPublished();
  }
}
