package org.wagtailpin.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The recent work of customers for services that are short of capacity, at one entry or at all
 * entries of a failure domain.
 *
 * @param levels the sums of each service and priority
 * @param ageMillis how long ago the sums were measured, on average over the entries, in
 *     milliseconds
 */
public record CustomerSums(List<LevelSums> levels, double ageMillis) {

  /** Creates sums with a copy of the list. */
  public CustomerSums {
    levels = List.copyOf(levels);
  }

  /** Returns sums without any work. */
  public static CustomerSums none() {
    return new CustomerSums(List.of(), 0);
  }

  /** Returns the sums of one service, one for each priority. */
  public List<LevelSums> of(String service) {
    return levels.stream().filter(level -> level.service().equals(service)).toList();
  }

  /** Returns whether there is any work for a service. */
  boolean has(String service) {
    return levels.stream().anyMatch(level -> level.service().equals(service));
  }

  /** Returns the same sums, measured longer ago. */
  CustomerSums older(double millis) {
    return new CustomerSums(levels, ageMillis + millis);
  }

  /**
   * Adds up the sums of several entries.
   *
   * @param parts the sums of each entry
   * @param listed how many customers of each service and priority the result lists at most
   */
  static CustomerSums total(List<CustomerSums> parts, int listed) {
    Map<String, Map<Integer, LevelSums>> totals = new TreeMap<>();
    for (CustomerSums part : parts) {
      for (LevelSums level : part.levels()) {
        totals
            .computeIfAbsent(level.service(), service -> new TreeMap<>())
            .merge(level.priority(), level, LevelSums::plus);
      }
    }
    List<LevelSums> levels = new ArrayList<>();
    totals.values().forEach(byPriority -> levels.addAll(byPriority.values()));
    double ageMillis = parts.stream().mapToDouble(CustomerSums::ageMillis).average().orElse(0);
    return new CustomerSums(
        levels.stream().map(level -> level.limitedTo(listed)).toList(), ageMillis);
  }
}
