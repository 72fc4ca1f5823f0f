package org.wagtailpin.membership;

import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.store.Backoff;
import org.wagtailpin.store.Store;

/**
 * Writes this entry's registration to the store: a key without a lease, which stays until the entry
 * leaves or its host is known to be gone. Failed writes are retried. Confined to the control loop.
 */
final class Registration {

  private final ControlLoop loop;
  private final EntryKeyWriter keyWriter;
  private final Backoff backoff;
  private final Runnable onRegistered;
  private boolean confirmed;
  private boolean stopped;

  Registration(
      Store store,
      ControlLoop loop,
      UniformRandomProvider random,
      Member self,
      MembershipSettings settings,
      Runnable onRegistered) {
    this.loop = loop;
    this.keyWriter = new EntryKeyWriter(store, loop, EntryKeys.registrationKey(self.id()), self);
    this.backoff = new Backoff(settings.minBackoffMillis(), settings.maxBackoffMillis(), random);
    this.onRegistered = onRegistered;
  }

  void start() {
    loop.execute(this::register);
  }

  /** Writes the registration again, since the store may have lost it. */
  void registerAgain() {
    confirmed = false;
    register();
  }

  /** Returns whether the store is known to hold the registration. */
  boolean confirmed() {
    return confirmed;
  }

  private void register() {
    if (!stopped) {
      keyWriter.write(Optional.empty(), this::onWritten);
    }
  }

  private void onWritten(EntryKeyWriter.Outcome outcome) {
    if (outcome == EntryKeyWriter.Outcome.WRITTEN) {
      confirmed = true;
      onRegistered.run();
    } else {
      loop.schedule(backoff.nextMillis(), this::register);
    }
  }

  /** Stops retrying; a registration that is already in the store stays. */
  void stop() {
    stopped = true;
  }

  /** Stops retrying, and deletes the registration if it is known to be in the store. */
  void deregister() {
    stop();
    if (confirmed) {
      keyWriter.delete();
    }
  }
}
