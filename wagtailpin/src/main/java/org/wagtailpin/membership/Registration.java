package org.wagtailpin.membership;

import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.store.Backoff;
import org.wagtailpin.store.Store;

/**
 * Keeps this entry's registration in the store: a key without a lease, which stays until the entry
 * leaves or is known to be gone. Runs on the control loop.
 */
final class Registration {

  private final ControlLoop loop;
  private final OwnKey key;
  private final Backoff backoff;
  private final Runnable registered;
  private boolean known;
  private boolean stopped;

  Registration(
      Store store,
      ControlLoop loop,
      UniformRandomProvider random,
      Member self,
      MembershipSettings settings,
      Runnable registered) {
    this.loop = loop;
    this.key = new OwnKey(store, loop, EntryKeys.registered(self.id()), self);
    this.backoff = new Backoff(settings.minBackoffMillis(), settings.maxBackoffMillis(), random);
    this.registered = registered;
  }

  void start() {
    loop.execute(this::step);
  }

  /** Tells whether the store is known to hold the registration. */
  boolean known() {
    return known;
  }

  private void step() {
    if (!stopped) {
      key.write(Optional.empty(), this::written);
    }
  }

  private void written(OwnKey.Outcome outcome) {
    if (outcome == OwnKey.Outcome.WRITTEN) {
      known = true;
      registered.run();
    } else {
      loop.schedule(backoff.nextMillis(), this::step);
    }
  }

  /** Stops trying; a registration that the store holds stays. */
  void stop() {
    stopped = true;
  }

  /** Deletes the registration. */
  void withdraw() {
    stop();
    if (known) {
      key.delete();
    }
  }
}
