package org.wagtailpin.budget;

import java.util.List;
import java.util.Optional;

/**
 * What the exchange of units needs to know of the fleet. Called on the control loop, often, so
 * implementations must be cheap.
 */
public interface BudgetPeers {

  /**
   * The holder of the share of another failure domain.
   *
   * @param entry the identifier of the entry
   * @param domain the failure domain
   */
  record Holder(String entry, String domain) {}

  /** Returns whether this entry holds the share of its failure domain. */
  boolean holding();

  /**
   * Returns the fraction of the entries of this domain that take this entry for the holder, itself
   * included, from 0 to 1. Where entries have different holders, their fractions must not add up to
   * more than 1.
   */
  double followedShare();

  /**
   * Returns the identifier of the holder of this domain's share, this entry if it is the holder.
   */
  Optional<String> holder();

  /** Returns the holders of the other domains' shares, as far as known, ordered by domain. */
  List<Holder> otherHolders();
}
