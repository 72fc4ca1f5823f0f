package org.wagtailpin.entrypeer;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Looks up the peer addresses of entries by their identifiers. Thread-safe. */
public interface AddressBook {

  /**
   * Looks up the TCP address on which an entry listens for other entries.
   *
   * @param entry the identifier of the entry
   * @return its address, or empty if it is not known
   */
  Optional<InetSocketAddress> addressOf(String entry);
}
