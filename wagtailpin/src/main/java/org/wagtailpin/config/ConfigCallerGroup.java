package org.wagtailpin.config;

import java.util.List;

/**
 * A group of callers that shares capacity with other groups by weight.
 *
 * @param name the group's name
 * @param weight its share against other groups, above 0 and at most 1000
 * @param addressBlocks the callers' IP address blocks in CIDR form; the longest match over all
 *     groups decides
 */
public record ConfigCallerGroup(String name, double weight, List<String> addressBlocks)
    implements ConfigObject {

  /** Copies the list. */
  public ConfigCallerGroup {
    addressBlocks = List.copyOf(addressBlocks);
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.CALLER_GROUP;
  }
}
