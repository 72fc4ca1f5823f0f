package org.wagtailpin.config;

import java.util.List;

/**
 * A group of callers among which capacity is divided by weight.
 *
 * @param name the group's name
 * @param weight its weight relative to other groups, 0.001 to 1000
 * @param addressBlocks the IP address blocks of its callers in CIDR notation; a caller belongs to
 *     the group with the longest matching prefix
 */
public record ConfigCallerGroup(String name, double weight, List<String> addressBlocks)
    implements ConfigObject {

  /** Makes the list unmodifiable. */
  public ConfigCallerGroup {
    addressBlocks = List.copyOf(addressBlocks);
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.CALLER_GROUP;
  }
}
