package org.wagtailpin.config;

import java.util.Locale;

/**
 * Where the configuration in force came from.
 *
 * @param source the kind of source that gave the newest state
 * @param peerName the entry that gave it, empty for other sources
 * @param sinceWallMillis when it was put in force, in milliseconds since 1970-01-01T00:00:00Z
 */
public record ConfigOrigin(Source source, String peerName, long sinceWallMillis) {

  /** The kinds of source. */
  public enum Source {
    /** There is no configuration yet. */
    NONE,
    STORE,
    PEER;

    /** Returns the name used in log lines and pages. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Returns the origin of an entry that has no configuration yet. */
  public static ConfigOrigin none() {
    return new ConfigOrigin(Source.NONE, "", 0);
  }
}
