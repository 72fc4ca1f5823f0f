package org.wagtailpin.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * The earlier attempts of a call.
 *
 * @param servers the names of the servers tried, in order
 */
public record AttemptHistory(List<String> servers) {

  /** Copies the list. */
  public AttemptHistory {
    servers = List.copyOf(servers);
  }

  /** Returns the history of a call without attempts. */
  public static AttemptHistory none() {
    return new AttemptHistory(List.of());
  }

  /**
   * Returns this history extended by one attempt.
   *
   * @param server the server tried
   */
  public AttemptHistory with(String server) {
    List<String> longer = new ArrayList<>(servers);
    longer.add(server);
    return new AttemptHistory(longer);
  }

  /** Returns how many attempts were made. */
  public int attempts() {
    return servers.size();
  }
}
