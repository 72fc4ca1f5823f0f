package org.wagtailpin.standins.backend;

/**
 * Behaviour of a stand-in backend server without faults.
 *
 * @param name the server's name in its answers
 * @param slots how many requests it runs at once, at least 1
 * @param queueLimit how many requests wait at the server before it refuses more, at least 0
 * @param meanServiceMillis the mean service time in milliseconds, above 0
 * @param stragglerShare the share of requests that take much longer, 0 to 1
 * @param stragglerFactor how many times longer those take, at least 1
 * @param probeDelayMillis how long an answer to a load probe takes, in milliseconds, at least 0
 * @param networkDelayMillis the one-way delay added to each request and answer, in milliseconds
 * @param coldStartMillis how long after its start the server is slow, in milliseconds, at least 0
 * @param coldStartFactor how many times longer requests take at the start, at least 1
 * @param seed the seed of the service times
 */
public record ServerProfile(
    String name,
    int slots,
    int queueLimit,
    double meanServiceMillis,
    double stragglerShare,
    double stragglerFactor,
    double probeDelayMillis,
    double networkDelayMillis,
    long coldStartMillis,
    double coldStartFactor,
    long seed) {

  /**
   * Returns a profile without stragglers, network delay or cold start.
   *
   * @param name the server's name
   * @param slots how many requests it runs at once
   * @param meanServiceMillis the mean service time in milliseconds
   * @param seed the seed of the service times
   */
  public static ServerProfile plain(String name, int slots, double meanServiceMillis, long seed) {
    return new ServerProfile(name, slots, 100, meanServiceMillis, 0, 1, 0, 0, 0, 1, seed);
  }

  /**
   * Returns this profile with stragglers.
   *
   * @param share the share of requests that take much longer, 0 to 1
   * @param factor how many times longer those take, at least 1
   */
  public ServerProfile withStragglers(double share, double factor) {
    return new ServerProfile(
        name,
        slots,
        queueLimit,
        meanServiceMillis,
        share,
        factor,
        probeDelayMillis,
        networkDelayMillis,
        coldStartMillis,
        coldStartFactor,
        seed);
  }
}
