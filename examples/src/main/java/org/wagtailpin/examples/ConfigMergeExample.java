package org.wagtailpin.examples;

import java.util.List;
import java.util.Optional;
import org.wagtailpin.config.ConfigCallerGroup;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.VersionedObject;

/**
 * Merges the states of an object into two replicas in different orders.
 *
 * <p>Shows that {@link MergedConfig} does not depend on message order: the highest ticket wins.
 */
public final class ConfigMergeExample {

  private ConfigMergeExample() {}

  private static VersionedObject state(long ticket, double weight) {
    ConfigCallerGroup group = new ConfigCallerGroup("ports", weight, List.of("10.0.0.0/8"));
    return new VersionedObject(group.id(), ticket, Optional.of(group));
  }

  /**
   * Merges three states in two orders.
   *
   * @return whether both replicas hold the same state afterwards
   */
  public static boolean replicasAgree() {
    List<VersionedObject> states = List.of(state(1, 1), state(2, 4), state(3, 2));
    MergedConfig inOrder = new MergedConfig();
    states.forEach(inOrder::merge);
    MergedConfig reversed = new MergedConfig();
    for (int index = states.size() - 1; index >= 0; index--) {
      reversed.merge(states.get(index));
    }
    return inOrder.digest() == reversed.digest() && inOrder.highestTicket() == 3;
  }

  /**
   * Prints whether the replicas agree.
   *
   * @param args none
   */
  public static void main(String[] args) {
    System.out.println("replicas agree: " + replicasAgree());
  }
}
