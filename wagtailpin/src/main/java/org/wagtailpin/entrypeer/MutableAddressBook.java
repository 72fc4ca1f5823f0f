package org.wagtailpin.entrypeer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Address book whose addresses can be added and removed at run time.
 *
 * <p>If only the address of an entry is known, such as that of a seed in the settings, a name made
 * by {@link #addressName} is used in place of the identifier until the entry answers with its own.
 * Such a name resolves even if it was never added.
 */
public final class MutableAddressBook implements AddressBook {

  private static final String ADDRESS_NAME_PREFIX = "@";

  private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();

  /**
   * Returns the placeholder name for an entry of which only the address is known.
   *
   * @param address the IP address
   * @param port the TCP port, 1 to 65535
   */
  public static String addressName(String address, int port) {
    return ADDRESS_NAME_PREFIX + address + ":" + port;
  }

  /**
   * Returns whether a name was made by {@link #addressName}, and so is not an identifier.
   *
   * @param name an identifier of an entry or a placeholder name
   */
  public static boolean isAddressName(String name) {
    return name.startsWith(ADDRESS_NAME_PREFIX);
  }

  /**
   * Sets the address of an entry and replaces an earlier one.
   *
   * @param entry the identifier of the entry
   * @param address the IP address
   * @param port the TCP port, 1 to 65535
   */
  public void setAddress(String entry, String address, int port) {
    addresses.put(entry, new InetSocketAddress(address, port));
  }

  /**
   * Removes the address of an entry, if there is one.
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
