package org.wagtailpin.entrypeer;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Tells where entries hear other entries. Safe for use by all threads. */
public interface AddressBook {

  /**
   * Finds the address of an entry.
   *
   * @param entry the identifier of the entry
   * @return its address, or empty if it is not known
   */
  Optional<InetSocketAddress> addressOf(String entry);
}
