package org.wagtailpin.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.wagtailpin.config.StateConfirmation;
import org.wagtailpin.entrypeer.PeerHandler;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/** Tests when an entry takes its state for that of the store. */
class StateConfirmationTest {

  private static final long SETTLE_MILLIS = 15_000;

  private final AtomicBoolean losesConfig = new AtomicBoolean();
  private final SimulatedDomains fleet = new SimulatedDomains(1, ConfigLosingMessenger::new);

  /** A messenger that can lose the messages by which entries receive a configuration. */
  private final class ConfigLosingMessenger implements PeerMessenger {
    private final PeerMessenger inner;

    ConfigLosingMessenger(PeerMessenger inner) {
      this.inner = inner;
    }

    @Override
    public String self() {
      return inner.self();
    }

    @Override
    public CompletableFuture<PeerReply> request(
        String entry, PeerFrame.Builder frame, long timeoutMillis) {
      boolean carriesConfig = frame.hasConfigPush() || frame.hasConfigPull();
      return losesConfig.get() && carriesConfig
          ? new CompletableFuture<>()
          : inner.request(entry, frame, timeoutMillis);
    }

    @Override
    public void setHandler(PeerFrame.BodyCase body, PeerHandler handler) {
      inner.setHandler(body, handler);
    }
  }

  private void start() {
    fleet.start(2, 3);
    fleet.changeDocument();
    fleet.advance(SETTLE_MILLIS);
  }

  private static StateConfirmation confirmation(SimulatedMember member) {
    return member.membership().confirmation().orElseThrow();
  }

  @Test
  void aWatcherIsConfirmedByTheStoreAndAFollowerByItsWatcher() {
    start();

    for (SimulatedMember member : fleet.members()) {
      String watcher = fleet.watchers(member.domain()).get(0).id();
      assertWithMessage(member.id())
          .that(confirmation(member).by())
          .isEqualTo(member.watching() ? StateConfirmation.STORE : watcher);
    }
  }

  @Test
  void aFollowerWithTheStateOfItsWatcherIsConfirmedWithinTheBound() {
    start();

    for (SimulatedMember member : fleet.members()) {
      if (!member.watching()) {
        assertWithMessage(member.id())
            .that(fleet.clock().millis() - confirmation(member).atMillis())
            .isAtMost(SimulatedDomains.BOUND_MILLIS);
      }
    }
  }

  @Test
  void aFollowerThatLeftAVersionOutIsNotConfirmedAlthoughItsWatcherIsHeard() {
    start();
    losesConfig.set(true);
    fleet.changeDocument();
    long changeMillis = fleet.clock().millis();
    fleet.advance(SETTLE_MILLIS);

    for (SimulatedMember member : fleet.members()) {
      if (!member.watching()) {
        assertWithMessage(member.id()).that(member.version()).isEqualTo(1);
        assertWithMessage(member.id())
            .that(confirmation(member).atMillis())
            .isLessThan(changeMillis + SimulatedDomains.BOUND_MILLIS);
      }
    }
    assertThat(fleet.watchers("d0").get(0).version()).isEqualTo(2);
  }
}
