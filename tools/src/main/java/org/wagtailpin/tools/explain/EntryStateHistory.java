package org.wagtailpin.tools.explain;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The state of servers, peers, the store and the configuration as entries saw it over time. Keeps
 * the newest changes of a bounded number of subjects, so that its memory does not grow with the
 * logs.
 */
final class EntryStateHistory {

  private static final int MAX_SUBJECTS = 50_000;
  private static final int MAX_CHANGES_PER_SUBJECT = 16;

  private final Map<String, Deque<LogLine>> changes =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Deque<LogLine>> eldest) {
          return size() > MAX_SUBJECTS;
        }
      };

  /** Records a state change; events of requests and other events are ignored. */
  void recordChange(LogLine line) {
    subjectOf(line).ifPresent(subject -> addChange(line.entry() + "/" + subject, line));
  }

  private static Optional<String> subjectOf(LogLine line) {
    if (!line.request().isEmpty()) {
      return Optional.empty();
    }
    if (line.event().startsWith("server-")) {
      return Optional.of("server/" + line.text("server"));
    }
    if (line.event().startsWith("peer-")) {
      return Optional.of("peers");
    }
    if (line.isEvent("store-lost", "store-regained")) {
      return Optional.of("store");
    }
    if (line.isEvent("config-read", "config-taken", "config-refused")) {
      return Optional.of("config");
    }
    return line.event().startsWith("entry-") ? Optional.of("entry") : Optional.empty();
  }

  private void addChange(String key, LogLine line) {
    Deque<LogLine> subjectChanges = changes.computeIfAbsent(key, k -> new ArrayDeque<>());
    subjectChanges.addLast(line);
    if (subjectChanges.size() > MAX_CHANGES_PER_SUBJECT) {
      subjectChanges.removeFirst();
    }
  }

  /**
   * Returns the newest change of a subject that an entry had seen at a time.
   *
   * @param entry the entry's identifier
   * @param subject {@code config}, {@code store}, {@code peers}, {@code entry} or {@code
   *     server/NAME}
   * @param timeMillis the time, in milliseconds since 1970-01-01T00:00:00Z
   */
  Optional<LogLine> latestChange(String entry, String subject, long timeMillis) {
    Optional<LogLine> newest = Optional.empty();
    for (LogLine change : changes.getOrDefault(entry + "/" + subject, new ArrayDeque<>())) {
      if (change.timeMillis() <= timeMillis) {
        newest = Optional.of(change);
      }
    }
    return newest;
  }

  /** Describes the configuration, the store and the peers as an entry saw them, in one line. */
  String describe(String entry, long timeMillis) {
    return describe(entry, "config", timeMillis, "no configuration in the log")
        + "; "
        + describe(entry, "store", timeMillis, "store heard")
        + "; "
        + describe(entry, "peers", timeMillis, "no other entry in the log");
  }

  /** Describes a server as an entry saw it, in one line. */
  String describeServer(String entry, String server, long timeMillis) {
    return describe(entry, "server/" + server, timeMillis, "server " + server + " not in the log");
  }

  private String describe(String entry, String subject, long timeMillis, String otherwise) {
    return latestChange(entry, subject, timeMillis)
        .map(
            line ->
                line.event()
                    + affectedObject(line)
                    + " "
                    + (timeMillis - line.timeMillis())
                    + " ms before")
        .orElse(otherwise);
  }

  private static String affectedObject(LogLine line) {
    for (String field : new String[] {"server", "revision", "peer"}) {
      if (line.fields().has(field)) {
        return " " + line.text(field);
      }
    }
    return "";
  }
}
