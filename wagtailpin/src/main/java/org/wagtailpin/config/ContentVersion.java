package org.wagtailpin.config;

import java.util.Comparator;
import java.util.Optional;

/**
 * The version that the writer of an object put into its content. It rises over restores of the
 * store from an older copy, unlike the store's revision.
 *
 * @param major the operator's version of a document, or the start time of a server
 * @param minor the sequence of a server's registration since its start
 */
record ContentVersion(long major, long minor) implements Comparable<ContentVersion> {

  private static final Comparator<ContentVersion> ORDER =
      Comparator.comparingLong(ContentVersion::major).thenComparingLong(ContentVersion::minor);

  private static final ContentVersion NONE = new ContentVersion(0, 0);

  /** Returns the version of an object, empty if its kind has none or its writer gave none. */
  static Optional<ContentVersion> of(ConfigObject object) {
    return version(object).filter(version -> !version.equals(NONE));
  }

  private static Optional<ContentVersion> version(ConfigObject object) {
    if (object instanceof ConfigDocument document) {
      return Optional.of(new ContentVersion(document.version(), 0));
    }
    // A server that registers itself is the only one of its set.
    if (object instanceof ConfigServerSet set && set.servers().size() == 1) {
      ConfigServer server = set.servers().get(0);
      return Optional.of(new ContentVersion(server.startedMillis(), server.sequence()));
    }
    return Optional.empty();
  }

  @Override
  public int compareTo(ContentVersion other) {
    return ORDER.compare(this, other);
  }
}
