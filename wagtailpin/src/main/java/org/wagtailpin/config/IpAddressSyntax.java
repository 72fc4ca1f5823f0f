package org.wagtailpin.config;

import io.netty.util.NetUtil;

/** Syntax checks of IP addresses and address blocks, without any name resolution. */
public final class IpAddressSyntax {

  private static final int BITS_PER_BYTE = 8;

  private IpAddressSyntax() {}

  /** Returns whether a text is an IPv4 or IPv6 address. */
  public static boolean isIpAddress(String text) {
    return NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text);
  }

  /**
   * Returns whether a text is an address block in the notation of RFC 4632 section 3.1: an address,
   * a slash and the prefix length in bits.
   */
  public static boolean isAddressBlock(String text) {
    int slash = text.indexOf('/');
    if (slash < 0 || !isIpAddress(text.substring(0, slash))) {
      return false;
    }
    String bits = text.substring(slash + 1);
    if (!bits.matches("[0-9]{1,3}")) {
      return false;
    }
    byte[] address = NetUtil.createByteArrayFromIpAddressString(text.substring(0, slash));
    return Integer.parseInt(bits) <= address.length * BITS_PER_BYTE;
  }
}
