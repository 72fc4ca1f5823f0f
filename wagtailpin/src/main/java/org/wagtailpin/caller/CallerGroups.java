package org.wagtailpin.caller;

import io.netty.handler.ipfilter.IpFilterRuleType;
import io.netty.handler.ipfilter.IpSubnetFilterRule;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.wagtailpin.config.ConfigCallerGroup;
import org.wagtailpin.config.ConfigSnapshot;

/** The caller groups of a configuration, by address; the longest matching block decides. */
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

  /** Returns the name of an address's group, empty if no block holds it. */
  String groupOf(InetSocketAddress caller) {
    for (AddressBlock block : blocks) {
      if (block.rule().matches(caller)) {
        return block.group();
      }
    }
    return "";
  }
}
