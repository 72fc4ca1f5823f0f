package org.wagtailpin.eventlog;

import java.util.List;

/**
 * The kinds of events that an entry logs, with their fields. The operations page of the
 * documentation lists the same kinds and fields.
 */
public enum EventKind {
  ADMITTED("admitted", true, "route", "service", "deadlineMillis", "snapshot"),
  UNREAD("unread", true, "status", "step", "detail"),
  PLACED(
      "placed",
      true,
      "route",
      "service",
      "rule",
      "queuedMillis",
      "queueLength",
      "server",
      "candidates",
      "inFlight",
      "estimatedLoad",
      "reportAgeMillis",
      "longWork",
      "medianMillis",
      "expectedMillis",
      "remainingMillis",
      "routeAnswers"),
  REFUSED(
      "refused",
      true,
      "route",
      "service",
      "rule",
      "queuedMillis",
      "queueLength",
      "candidates",
      "inFlight",
      "estimatedLoad",
      "reportAgeMillis",
      "longWork",
      "medianMillis",
      "expectedMillis",
      "remainingMillis",
      "routeAnswers",
      "step",
      "detail",
      "customer",
      "priority",
      "offeredSlots",
      "shareSlots",
      "domainSums",
      "sumsAgeMillis"),
  ATTEMPT(
      "attempt",
      true,
      "route",
      "service",
      "server",
      "attempt",
      "outcome",
      "status",
      "detail",
      "latencyMillis"),
  REPEATED("repeated", true, "attempt", "rule", "delayMillis"),
  NOT_REPEATED("not-repeated", true, "attempt", "rule"),
  ENDED(
      "ended",
      true,
      "route",
      "service",
      "outcome",
      "status",
      "step",
      "peer",
      "detail",
      "latencyMillis",
      "retryAfterMillis"),

  ENTRY_STARTED("entry-started", false, "callers", "incarnation"),
  ENTRY_LEAVING("entry-leaving", false, "calls", "noticeMillis", "graceMillis"),
  ENTRY_LEFT("entry-left", false, "cut"),
  SETTINGS_READ("settings-read", false, "constants"),
  SETTINGS_REFUSED("settings-refused", false, "detail"),
  STORE_LOST("store-lost", false, "detail", "silentMillis"),
  STORE_REGAINED("store-regained", false, "awayMillis", "graceMillis"),
  STORE_RESULT_FAILED("store-result-failed", false, "revision", "detail"),
  HISTORY_LOST("history-lost", false, "revision"),
  STORE_ERA_CHANGED(
      "store-era-changed", false, "eraBefore", "revisionBefore", "era", "revision", "graceMillis"),
  CONFIG_HELD("config-held", false, "config", "revision", "listed", "listedRevision"),
  REGISTRATION_HELD("registration-held", false, "server", "sequence", "listed", "revision"),
  WATCH_SILENT("watch-silent", false, "revision", "seen"),
  LIST_OLDER("list-older", false, "revision", "known"),
  CONFIG_READ("config-read", false, "config", "revision"),
  CONFIG_TAKEN(
      "config-taken",
      false,
      "revision",
      "source",
      "peer",
      "before",
      "confirmedBy",
      "confirmedMillis"),
  CONFIG_UNCONFIRMED(
      "config-unconfirmed",
      false,
      "revision",
      "inForceMillis",
      "confirmedBy",
      "confirmedMillis",
      "awaits",
      "waitMillis"),
  CONFIG_CONFIRMED(
      "config-confirmed",
      false,
      "revision",
      "inForceMillis",
      "confirmedBy",
      "confirmedMillis",
      "awaits",
      "waitMillis"),
  CONFIG_REFUSED("config-refused", false, "revision", "detail"),
  SERVER_SEEN("server-seen", false, "server", "service", "address", "revision"),
  SERVER_LEAVING("server-leaving", false, "server", "service", "revision"),
  SERVER_GONE("server-gone", false, "server", "revision"),
  SERVER_REMOVAL_HELD("server-removal-held", false, "server", "revision", "waitMillis"),
  SERVER_REFUSED("server-refused", false, "server", "revision", "detail"),
  ANSWER_UNMATCHED(
      "answer-unmatched",
      false,
      "server",
      "reason",
      "awaiting",
      "identifier",
      "method",
      "before",
      "received",
      "status",
      "carried",
      "idleMillis",
      "omitted"),
  SERVER_EJECTED("server-ejected", false, "server"),
  SERVER_RETURNED("server-returned", false, "server"),
  SERVER_UNANSWERING("server-unanswering", false, "server"),
  SERVER_ANSWERING("server-answering", false, "server"),
  SERVER_STATES_LEAVING("server-states-leaving", false, "server"),
  SERVER_PAUSED("server-paused", false, "server"),
  SERVER_RESUMED("server-resumed", false, "server"),
  SERVER_LIMITED("server-limited", false, "server", "perSecond", "sharePerSecond"),
  SERVER_UNLIMITED("server-unlimited", false, "server"),
  SERVER_COLD("server-cold", false, "server"),
  SERVER_WARM("server-warm", false, "server"),
  BUDGET_EXHAUSTED("budget-exhausted", false, "kind", "name"),
  BUDGET_AVAILABLE("budget-available", false, "kind", "name", "exhaustedMillis", "denied"),
  EVACUATION_BEGUN("evacuation-begun", false, "failureDomain", "revision"),
  EVACUATION_ENDED("evacuation-ended", false, "failureDomain", "revision"),
  KEY_REFUSED("key-refused", false, "reason", "keyHash", "omitted"),
  WATCHER_ELECTED("watcher-elected", false, "reason", "rank", "before"),
  WATCHER_REPLACED("watcher-replaced", false, "watcher"),
  WATCHER_FOLLOWED("watcher-followed", false, "watcher"),
  PEER_SEEN("peer-seen", false, "peer"),
  PEER_SUSPECTED("peer-suspected", false, "peer", "silentMillis"),
  PEER_GONE("peer-gone", false, "peer"),
  LINES_DROPPED("lines-dropped", false, "dropped", "notSampled");

  private final String label;
  private final boolean isRequestEvent;

  // Created by List.of, so it is immutable.
  @SuppressWarnings("ImmutableEnumChecker")
  private final List<String> fields;

  EventKind(String label, boolean isRequestEvent, String... fields) {
    this.label = label;
    this.isRequestEvent = isRequestEvent;
    this.fields = List.of(fields);
  }

  /** Returns the name that is written to the log. */
  public String label() {
    return label;
  }

  /** Returns whether events of this kind belong to a request and carry its identifier. */
  public boolean isRequestEvent() {
    return isRequestEvent;
  }

  /**
   * Returns the names of the fields that a line can have in addition to time, event, entry and
   * request.
   */
  public List<String> fields() {
    return fields;
  }
}
