package org.wagtailpin.region;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** The regions in which a request may be run. Immutable. */
public final class AllowedRegions {

  private static final AllowedRegions EVERYWHERE = new AllowedRegions(Optional.empty());

  private final Optional<Set<String>> regions;

  private AllowedRegions(Optional<Set<String>> regions) {
    this.regions = regions;
  }

  /** Returns all regions. */
  public static AllowedRegions everywhere() {
    return EVERYWHERE;
  }

  /**
   * Returns the regions of a configured list.
   *
   * @param configured the names of the regions; an empty list means all regions
   */
  public static AllowedRegions ofList(Collection<String> configured) {
    return configured.isEmpty()
        ? EVERYWHERE
        : new AllowedRegions(Optional.of(Set.copyOf(configured)));
  }

  /**
   * Returns the regions that both allow, which may be none.
   *
   * @param other the other regions
   */
  public AllowedRegions and(AllowedRegions other) {
    if (other.regions.isEmpty()) {
      return this;
    }
    if (regions.isEmpty()) {
      return other;
    }
    Set<String> both = new HashSet<>(regions.get());
    both.retainAll(other.regions.get());
    return new AllowedRegions(Optional.of(both));
  }

  /**
   * Returns whether a request may be run in a region.
   *
   * @param region the name of the region
   */
  public boolean allows(String region) {
    return regions.isEmpty() || regions.get().contains(region);
  }

  /** Returns whether a request may be run in every region. */
  public boolean allowsAll() {
    return regions.isEmpty();
  }

  /** Returns whether there is no region in which a request may be run. */
  public boolean allowsNone() {
    return regions.isPresent() && regions.get().isEmpty();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof AllowedRegions allowed && regions.equals(allowed.regions);
  }

  @Override
  public int hashCode() {
    return regions.hashCode();
  }

  @Override
  public String toString() {
    return regions.map(Set::toString).orElse("all regions");
  }
}
