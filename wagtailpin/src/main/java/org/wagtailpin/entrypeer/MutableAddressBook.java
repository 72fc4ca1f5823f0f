package org.wagtailpin.entrypeer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Address book that is filled as addresses are learnt.
 *
 * <p>Where only the address of an entry is known, as of a seed in the settings, a name made by
 * {@link #addressName} stands for the entry until its answer tells its identifier.
 */
public final class MutableAddressBook implements AddressBook {

  private static final String ADDRESS_NAME_PREFIX = "@";

  private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();

  /**
   * Returns the name that stands for the unknown entry at an address.
   *
   * @param address the IP address
   * @param port the TCP port, 1 to 65535
   */
  public static String addressName(String address, int port) {
    return ADDRESS_NAME_PREFIX + address + ":" + port;
  }

  /**
   * Tells whether a name stands for an address rather than for an identifier.
   *
   * @param name the name
   */
  public static boolean isAddressName(String name) {
    return name.startsWith(ADDRESS_NAME_PREFIX);
  }

  /**
   * Sets the address of an entry.
   *
   * @param entry the identifier of the entry
   * @param address the IP address
   * @param port the TCP port, 1 to 65535
   */
  public void setAddress(String entry, String address, int port) {
    addresses.put(entry, new InetSocketAddress(address, port));
  }

  /**
   * Drops the address of an entry.
   *
   * @param entry the identifier of the entry
   */
  public void removeAddress(String entry) {
    addresses.remove(entry);
  }

  @Override
  public Optional<InetSocketAddress> addressOf(String entry) {
    InetSocketAddress known = addresses.get(entry);
    if (known != null || !isAddressName(entry)) {
      return Optional.ofNullable(known);
    }
    int colon = entry.lastIndexOf(':');
    String address = entry.substring(ADDRESS_NAME_PREFIX.length(), colon);
    int port = Integer.parseInt(entry.substring(colon + 1));
    return Optional.of(new InetSocketAddress(address, port));
  }
}
