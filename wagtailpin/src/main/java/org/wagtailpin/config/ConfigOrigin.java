package org.wagtailpin.config;

import java.util.Locale;

/**
 * Origin of the active configuration.
 *
 * @param source the kind of source that the newest state was received from
 * @param peerName the entry that sent it, empty for other sources
 * @param sinceWallMillis when it became active, in milliseconds since 1970-01-01T00:00:00Z
 */
public record ConfigOrigin(Source source, String peerName, long sinceWallMillis) {

  /** Kind of source of a configuration. */
  public enum Source {
    /** No configuration has been received yet. */
    NONE,
    STORE,
    PEER;

    /** Returns the name used in events and on the status pages. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Returns the origin of an entry that has not received a configuration yet. */
  public static ConfigOrigin none() {
    return new ConfigOrigin(Source.NONE, "", 0);
  }
}
