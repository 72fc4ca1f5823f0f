package org.wagtailpin.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wagtailpin.limits.CustomerSum;
import org.wagtailpin.limits.CustomerSums;
import org.wagtailpin.limits.LevelSums;

/**
 * Converts sums of the work of customers to and from messages between entries.
 *
 * <p>Levels that a message can't carry or that no entry sends are left out; shares of their service
 * are then computed from the sums of the receiving entry.
 */
final class CustomerSumsCodec {

  /** At most this many services and priorities are sent or read, far below the size of a frame. */
  static final int MAX_LEVELS = 256;

  /** Entries list fewer; a later version may list more. */
  static final int MAX_LISTED = 16;

  /** Bounds the work of a level, in slots. */
  static final double MAX_SLOTS = 1_000_000;

  static final int MAX_SERVICE_CHARS = 256;
  private static final int MAX_CUSTOMERS = 1_000_000;
  private static final double MAX_WEIGHT = 1_000_000;
  private static final double DEFAULT_WEIGHT = 1;
  private static final double CENTISLOTS_PER_SLOT = 100;

  private record LevelKey(String service, int priority) {}

  /** Returns a message with sums, empty if there are none to send. */
  Optional<org.wagtailpin.entrypeer.generated.CustomerSums> encode(CustomerSums sums) {
    org.wagtailpin.entrypeer.generated.CustomerSums.Builder message =
        org.wagtailpin.entrypeer.generated.CustomerSums.newBuilder()
            .setAgeMillis((int) Math.round(sums.ageMillis()));
    sums.levels().stream()
        .map(CustomerSumsCodec::encode)
        // Work that rounds to nothing would make a division by zero of the receiver's shares.
        .filter(CustomerSumsCodec::valid)
        .limit(MAX_LEVELS)
        .forEach(message::addLevels);
    return message.getLevelsCount() == 0 ? Optional.empty() : Optional.of(message.build());
  }

  private static org.wagtailpin.entrypeer.generated.LevelSums encode(LevelSums level) {
    return org.wagtailpin.entrypeer.generated.LevelSums.newBuilder()
        .setService(level.service())
        .setPriority(level.priority())
        .setAdmittedCentislots(centislots(level.admitted()))
        .setRefusedCentislots(centislots(level.refused()))
        .setCustomers(level.customers())
        .addAllBusiest(
            level.busiest().stream().limit(MAX_LISTED).map(CustomerSumsCodec::encode).toList())
        .build();
  }

  private static org.wagtailpin.entrypeer.generated.CustomerSum encode(CustomerSum sum) {
    org.wagtailpin.entrypeer.generated.CustomerSum.Builder message =
        org.wagtailpin.entrypeer.generated.CustomerSum.newBuilder()
            .setCustomer(sum.customer())
            .setAdmittedCentislots(centislots(sum.admitted()))
            .setRefusedCentislots(centislots(sum.refused()));
    if (sum.weight() != DEFAULT_WEIGHT) {
      message.setWeight((float) sum.weight());
    }
    return message.build();
  }

  private static int centislots(double slots) {
    return (int) Math.round(Math.min(MAX_SLOTS, slots) * CENTISLOTS_PER_SLOT);
  }

  /** Returns the valid sums of a message. */
  CustomerSums decode(org.wagtailpin.entrypeer.generated.CustomerSums message) {
    Set<LevelKey> known = new HashSet<>();
    List<LevelSums> levels = new ArrayList<>();
    for (org.wagtailpin.entrypeer.generated.LevelSums level : message.getLevelsList()) {
      if (levels.size() < MAX_LEVELS
          && valid(level)
          && known.add(new LevelKey(level.getService(), level.getPriority()))) {
        levels.add(decode(level));
      }
    }
    return new CustomerSums(levels, Integer.toUnsignedLong(message.getAgeMillis()));
  }

  private static LevelSums decode(org.wagtailpin.entrypeer.generated.LevelSums level) {
    List<CustomerSum> busiest =
        level.getBusiestList().stream()
            .limit(MAX_LISTED)
            .map(
                sum ->
                    new CustomerSum(
                        sum.getCustomer(),
                        weight(sum),
                        slots(sum.getAdmittedCentislots()),
                        slots(sum.getRefusedCentislots())))
            .toList();
    return new LevelSums(
        level.getService(),
        level.getPriority(),
        slots(level.getAdmittedCentislots()),
        slots(level.getRefusedCentislots()),
        level.getCustomers(),
        busiest);
  }

  private static boolean valid(org.wagtailpin.entrypeer.generated.LevelSums level) {
    double admitted = slots(level.getAdmittedCentislots());
    double refused = slots(level.getRefusedCentislots());
    // Numbers of 2^31 and more are read as negative ones.
    return !level.getService().isEmpty()
        && level.getService().length() <= MAX_SERVICE_CHARS
        && level.getPriority() >= 0
        && admitted <= MAX_SLOTS
        && refused <= MAX_SLOTS
        && admitted + refused > 0
        && level.getCustomers() >= 0
        && level.getCustomers() <= MAX_CUSTOMERS
        && level.getBusiestList().stream().limit(MAX_LISTED).allMatch(CustomerSumsCodec::valid);
  }

  private static boolean valid(org.wagtailpin.entrypeer.generated.CustomerSum sum) {
    return slots(sum.getAdmittedCentislots()) <= MAX_SLOTS
        && slots(sum.getRefusedCentislots()) <= MAX_SLOTS
        && weight(sum) > 0
        && weight(sum) <= MAX_WEIGHT;
  }

  private static double weight(org.wagtailpin.entrypeer.generated.CustomerSum sum) {
    return sum.getWeight() == 0 ? DEFAULT_WEIGHT : sum.getWeight();
  }

  private static double slots(int centislots) {
    return Integer.toUnsignedLong(centislots) / CENTISLOTS_PER_SLOT;
  }
}
