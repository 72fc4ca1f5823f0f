package org.wagtailpin.caller;

import io.netty.handler.ipfilter.IpFilterRuleType;
import io.netty.handler.ipfilter.IpSubnetFilterRule;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.wagtailpin.config.ConfigCallerGroup;
import org.wagtailpin.config.ConfigSnapshot;

/**
 * Finds the caller group of an address in a configuration snapshot. If several address blocks
 * match, the one with the longest prefix applies. Immutable.
 */
final class CallerGroups {

  private record AddressBlock(int prefixBits, IpSubnetFilterRule rule, String group) {}

  private final ConfigSnapshot snapshot;
  private final List<AddressBlock> blocks = new ArrayList<>();

  CallerGroups(ConfigSnapshot snapshot) {
    this.snapshot = snapshot;
    for (ConfigCallerGroup group : snapshot.callerGroups()) {
      for (String block : group.addressBlocks()) {
        blocks.add(block(block, group.name()));
      }
    }
    blocks.sort(Comparator.comparingInt(AddressBlock::prefixBits).reversed());
  }

  private static AddressBlock block(String cidr, String group) {
    int slash = cidr.indexOf('/');
    int bits = Integer.parseInt(cidr.substring(slash + 1));
    String address = cidr.substring(0, slash);
    return new AddressBlock(
        bits, new IpSubnetFilterRule(address, bits, IpFilterRuleType.ACCEPT), group);
  }

  boolean isBuiltFrom(ConfigSnapshot other) {
    return snapshot == other;
  }

  /** Returns the name of the group of an address, empty if no address block contains it. */
  String groupOf(InetSocketAddress caller) {
    for (AddressBlock block : blocks) {
      if (block.rule().matches(caller)) {
        return block.group();
      }
    }
    return "";
  }
}
