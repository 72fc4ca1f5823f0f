package org.wagtailpin.registry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.tinylog.Logger;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigKind;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.ConfigServerSet;
import org.wagtailpin.config.ObjectId;
import org.wagtailpin.config.VersionedObject;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.error.Fault;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreChange;
import org.wagtailpin.store.StoreEntry;
import org.wagtailpin.store.StoreRevision;
import org.wagtailpin.store.StoreWatch;

/**
 * Watches server registrations and the operator's document in the store, and merges them into the
 * active configuration.
 *
 * <p>Each becomes a configuration object that is versioned by the store revision, so that states
 * from the store and from other entries can be merged in any order. A server whose registration is
 * missing after a store outage is kept for a grace period, since its lease may have expired only
 * because the server could not reach the store either. An interruption that is too short for that
 * holds no removal back. Runs on the control loop only, except for {@link #lastAnswerMillis} and
 * {@link #phase}.
 */
public final class RegistryWatcher implements StoreWatch {

  /** Without a document nothing can be served, so changes are gathered for longer. */
  private static final long BATCHES_BEFORE_DOCUMENT = 2;

  private final ControlLoop loop;
  private final Clock clock;
  private final ConfigMerger merger;
  private final RegistryFormat format;
  private final EvacuationStates evacuations;
  private final RegistryEvents registryEvents;
  private final StoreAvailability availability;
  private final StoreEraTracker eras;
  private final PrefixWatcher prefixWatcher;
  private long documentRevision;
  private boolean listed;
  private volatile long lastAnswerMillis = NEVER;
  private volatile WatchPhase phase = new WatchPhase(WatchPhase.Awaits.STOPPED, 0);

  /**
   * Creates a watcher that is not started.
   *
   * @param store the store that holds the registrations and the document
   * @param loop the control loop
   * @param clock measures outages and grace periods
   * @param merger merges the states that were read
   * @param random source of the backoff jitter
   * @param format keys and values of the registrations and the document
   * @param batchMillis the pause after a change, in which further changes are gathered, in
   *     milliseconds
   * @param events receives an event for each change
   */
  public RegistryWatcher(
      Store store,
      ControlLoop loop,
      Clock clock,
      ConfigMerger merger,
      UniformRandomProvider random,
      RegistryFormat format,
      long batchMillis,
      EventLog events) {
    this.loop = loop;
    this.clock = clock;
    this.merger = merger;
    this.format = format;
    this.evacuations = new EvacuationStates(format.evacuationPrefix());
    this.availability = new StoreAvailability(clock, format.renewalMillis(), events);
    this.eras = new StoreEraTracker(clock, events);
    this.registryEvents = new RegistryEvents(events);
    this.prefixWatcher =
        new PrefixWatcher(
            store,
            loop,
            format.commonPrefix(),
            random,
            () -> documentKnown() ? batchMillis : batchMillis * BATCHES_BEFORE_DOCUMENT,
            new StoreListener(),
            events);
  }

  @Override
  public void start() {
    if (!prefixWatcher.running()) {
      listed = false;
      prefixWatcher.start();
    }
  }

  @Override
  public void stop() {
    prefixWatcher.stop();
    listed = false;
  }

  @Override
  public boolean running() {
    return prefixWatcher.running();
  }

  @Override
  public boolean current() {
    return listed && availability.reachable();
  }

  private void addDocumentState(StoreEntry entry, List<VersionedObject> states) {
    if (!entry.key().equals(format.documentKey())) {
      return;
    }
    DocumentReadResult result = readDocument(entry);
    if (result instanceof DocumentReadResult.Read read) {
      VersionedObject document =
          new VersionedObject(read.document().id(), entry.revision(), Optional.of(read.document()));
      states.add(document);
      if (entry.revision() > documentRevision) {
        documentRevision = entry.revision();
        if (merger.merged().isHeldOverEras(document)) {
          registryEvents.documentHeld(merger.merged(), read.version(), entry.revision());
          return;
        }
        registryEvents.documentRead(read.version(), entry.revision());
      }
    } else if (result instanceof DocumentReadResult.Unreadable unreadable) {
      registryEvents.documentRefused(entry.revision(), unreadable.detail());
    }
  }

  @Override
  public void storeReachabilityChanged(boolean reachable) {
    if (reachable && prefixWatcher.running()) {
      prefixWatcher.restart();
    } else if (reachable) {
      availability.answered();
    } else {
      availability.lost("no answer to a test");
    }
  }

  @Override
  public void storeAnswered(long storeRevision) {
    availability.tested();
    prefixWatcher.revisionSeen(storeRevision);
  }

  @Override
  public int missedChanges() {
    return prefixWatcher.missedChanges();
  }

  @Override
  public long lastAnswerMillis() {
    return lastAnswerMillis;
  }

  /** Returns what the watch waits for, and since when. Thread-safe. */
  public WatchPhase phase() {
    return phase;
  }

  private boolean documentKnown() {
    return merger.merged().objects().stream()
        .anyMatch(object -> object.id().kind() == ConfigKind.DOCUMENT);
  }

  /** Converts the content of the store into object states. */
  private final class StoreListener implements PrefixWatcher.Listener {
    @Override
    public void listed(List<StoreEntry> entries, long revision) {
      long known = Math.max(merger.merged().highestTicket(), merger.merged().completeTicket());
      boolean firstOfEra = eras.listed(known, revision);
      List<VersionedObject> states = new ArrayList<>();
      Set<String> present = new HashSet<>();
      Set<String> keys = new HashSet<>();
      for (StoreEntry entry : entries) {
        keys.add(entry.key());
        evacuations.addPresent(entry, states);
        serverName(entry.key()).ifPresent(present::add);
        addDocumentState(entry, states);
        addServerState(entry, states);
      }
      for (String name : activeServerNames()) {
        if (!present.contains(name)) {
          removeAfterGracePeriod(name, revision, states);
        }
      }
      evacuations.addMissing(keys, revision, merger.merged(), states);
      listed = true;
      merger.mergeFromStore(states);
      markCompleteAsOf(revision);
      if (firstOfEra) {
        recordMissingDocument(entries);
        loop.schedule(eras.graceMillis(), prefixWatcher::restart);
      }
    }

    private void recordMissingDocument(List<StoreEntry> entries) {
      if (entries.stream().noneMatch(entry -> entry.key().equals(format.documentKey()))) {
        registryEvents.documentHeld(merger.merged(), 0, 0);
      }
    }

    @Override
    public void changed(List<StoreChange> changes, long revision) {
      List<VersionedObject> states = new ArrayList<>();
      for (StoreChange change : changes) {
        if (change.entry().isPresent()) {
          evacuations.addPresent(change.entry().get(), states);
          addDocumentState(change.entry().get(), states);
          addServerState(change.entry().get(), states);
        } else {
          evacuations.addRemoved(change.key(), change.revision(), states);
          serverName(change.key())
              .ifPresent(name -> removeAfterGracePeriod(name, change.revision(), states));
        }
      }
      merger.mergeFromStore(states);
      markCompleteAsOf(revision);
    }

    /**
     * Before servers had time to register again after a restore of the store, what it does not hold
     * may still exist. It is listed again after that time.
     */
    private void markCompleteAsOf(long revision) {
      if (eras.graceMillis() == 0) {
        merger.markCompleteAsOf(revision);
      }
    }

    @Override
    public void callFailed(Fault fault) {
      availability.lost(fault);
    }

    @Override
    public void callSucceeded() {
      lastAnswerMillis = clock.millis();
      availability.answered();
    }

    @Override
    public void processingFailed(long revision, Throwable cause) {
      listed = false;
      Logger.error(cause, "failed to process a result of the store");
      registryEvents.resultFailed(revision, cause);
    }

    @Override
    public void phaseChanged(WatchPhase.Awaits awaits) {
      phase = new WatchPhase(awaits, clock.millis());
    }
  }

  private Optional<String> serverName(String key) {
    String prefix = format.serverPrefix();
    return key.startsWith(prefix) && key.length() > prefix.length()
        ? Optional.of(key.substring(prefix.length()))
        : Optional.empty();
  }

  private List<String> activeServerNames() {
    List<String> names = new ArrayList<>();
    for (VersionedObject object : merger.merged().objects()) {
      if (object.id().kind() == ConfigKind.SERVER_SET && object.value().isPresent()) {
        names.add(object.id().name());
      }
    }
    return names;
  }

  private void addServerState(StoreEntry entry, List<VersionedObject> states) {
    Optional<String> name = serverName(entry.key());
    if (name.isEmpty()) {
      return;
    }
    ServerReadResult result = readServer(name.get(), entry);
    if (result instanceof ServerReadResult.Read read) {
      Optional<RegisteredServer> known = registered(name.get());
      VersionedObject listedState =
          stateOf(name.get(), entry.revision(), Optional.of(read.server()));
      if (merger.merged().isHeldOverEras(listedState)) {
        if (known.isEmpty() || read.server().isOlderThan(known.get())) {
          registryEvents.registrationHeld(known, read.server(), entry.revision());
        }
        return;
      }
      RegisteredServer newest =
          known.filter(before -> read.server().isOlderThan(before)).orElse(read.server());
      registryEvents.serverChanged(newest, known, entry.revision());
      states.add(stateOf(name.get(), entry.revision(), Optional.of(newest)));
    } else if (result instanceof ServerReadResult.Unreadable unreadable) {
      registryEvents.serverRefused(name.get(), entry.revision(), unreadable.detail());
      if (eraGraceMillis(name.get(), entry.revision()) > 0) {
        removeAfterGracePeriod(name.get(), entry.revision(), states);
      } else {
        states.add(stateOf(name.get(), entry.revision(), Optional.empty()));
      }
    }
  }

  /** Reads a registration, which anyone may have written, so that one cannot hide the others. */
  private ServerReadResult readServer(String name, StoreEntry entry) {
    try {
      return format.readServer(name, entry.value());
    } catch (RuntimeException e) {
      Logger.error(e, "failed to read the registration of a server");
      return new ServerReadResult.Unreadable(e.toString());
    }
  }

  private DocumentReadResult readDocument(StoreEntry entry) {
    try {
      return format.readDocument(entry.value());
    } catch (RuntimeException e) {
      Logger.error(e, "failed to read the operator's document");
      return new DocumentReadResult.Unreadable(e.toString());
    }
  }

  /**
   * Returns the newest registration of a server that this entry knows, from the store or from other
   * entries. Registrations of a server can reach the store out of order.
   */
  private Optional<RegisteredServer> registered(String name) {
    return merger
        .merged()
        .object(new ObjectId(ConfigKind.SERVER_SET, name))
        .flatMap(VersionedObject::value)
        .map(ConfigServerSet.class::cast)
        .filter(set -> !set.servers().isEmpty())
        .map(set -> new RegisteredServer(set.service(), set.servers().get(0)));
  }

  private void removeAfterGracePeriod(String name, long revision, List<VersionedObject> states) {
    long waitMillis = Math.max(availability.graceMillis(), eraGraceMillis(name, revision));
    boolean leaving = registered(name).map(known -> known.server().leaving()).orElse(false);
    if (waitMillis == 0 || leaving) {
      removeUnlessReregistered(name, revision, states);
      return;
    }
    registryEvents.removalHeld(name, revision, waitMillis);
    loop.schedule(waitMillis, () -> endGracePeriod(name, revision));
  }

  /** Only states of earlier eras are held, as the others are known to the restored store. */
  private long eraGraceMillis(String name, long revision) {
    boolean ofEarlierEra =
        merger
            .merged()
            .object(new ObjectId(ConfigKind.SERVER_SET, name))
            .filter(held -> StoreRevision.era(held.ticket()) < StoreRevision.era(revision))
            .isPresent();
    return ofEarlierEra ? eras.graceMillis() : 0;
  }

  private void endGracePeriod(String name, long revision) {
    List<VersionedObject> states = new ArrayList<>();
    removeUnlessReregistered(name, revision, states);
    merger.mergeFromStore(states);
  }

  private void removeUnlessReregistered(String name, long revision, List<VersionedObject> states) {
    ObjectId id = new ObjectId(ConfigKind.SERVER_SET, name);
    boolean reregistered =
        merger.merged().object(id).map(held -> held.ticket() > revision).orElse(false);
    if (!reregistered) {
      registryEvents.serverGone(name, revision);
      states.add(stateOf(name, revision, Optional.empty()));
    }
  }

  private static VersionedObject stateOf(
      String name, long revision, Optional<RegisteredServer> server) {
    return new VersionedObject(
        new ObjectId(ConfigKind.SERVER_SET, name),
        revision,
        server.map(known -> new ConfigServerSet(name, known.service(), List.of(known.server()))));
  }
}
