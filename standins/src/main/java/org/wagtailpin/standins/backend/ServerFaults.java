package org.wagtailpin.standins.backend;

/**
 * Faults injected into a stand-in backend server.
 *
 * @param slowFactor how many times longer requests take, at least 1
 * @param leaving whether it refuses new requests and reports that it is leaving
 * @param failFast whether it answers status 500 at once without running the request
 * @param reportsIdle whether it reports no load, regardless of its actual load
 * @param closeWithoutAnswer whether it runs a request and then closes the connection without an
 *     answer
 * @param truncateAnswers whether it closes the connection in the middle of an answer's body
 * @param wrongAttemptId whether it returns a different attempt identifier from the one it received
 */
public record ServerFaults(
    double slowFactor,
    boolean leaving,
    boolean failFast,
    boolean reportsIdle,
    boolean closeWithoutAnswer,
    boolean truncateAnswers,
    boolean wrongAttemptId) {

  /** Returns the state of a server without faults. */
  public static ServerFaults none() {
    return new ServerFaults(1, false, false, false, false, false, false);
  }

  /**
   * Returns these faults with another slow-down factor.
   *
   * @param factor how many times longer requests take, at least 1
   */
  public ServerFaults withSlowFactor(double factor) {
    return new ServerFaults(
        factor,
        leaving,
        failFast,
        reportsIdle,
        closeWithoutAnswer,
        truncateAnswers,
        wrongAttemptId);
  }

  /**
   * Returns these faults with the server leaving or not.
   *
   * @param value whether it refuses new requests and reports that it is leaving
   */
  public ServerFaults withLeaving(boolean value) {
    return new ServerFaults(
        slowFactor,
        value,
        failFast,
        reportsIdle,
        closeWithoutAnswer,
        truncateAnswers,
        wrongAttemptId);
  }

  /**
   * Returns these faults with the server failing fast or not.
   *
   * @param value whether it fails fast
   */
  public ServerFaults withFailFast(boolean value) {
    return new ServerFaults(
        slowFactor,
        leaving,
        value,
        reportsIdle,
        closeWithoutAnswer,
        truncateAnswers,
        wrongAttemptId);
  }

  /**
   * Returns these faults with the server reporting itself idle or not.
   *
   * @param value whether it reports no load
   */
  public ServerFaults withReportsIdle(boolean value) {
    return new ServerFaults(
        slowFactor, leaving, failFast, value, closeWithoutAnswer, truncateAnswers, wrongAttemptId);
  }

  /**
   * Returns these faults with the server closing connections without an answer or not.
   *
   * @param value whether it closes the connection instead of answering
   */
  public ServerFaults withCloseWithoutAnswer(boolean value) {
    return new ServerFaults(
        slowFactor, leaving, failFast, reportsIdle, value, truncateAnswers, wrongAttemptId);
  }

  /**
   * Returns these faults with the server truncating answers or not.
   *
   * @param value whether it closes the connection in the middle of a body
   */
  public ServerFaults withTruncateAnswers(boolean value) {
    return new ServerFaults(
        slowFactor, leaving, failFast, reportsIdle, closeWithoutAnswer, value, wrongAttemptId);
  }

  /**
   * Returns these faults with the server returning wrong attempt identifiers or not.
   *
   * @param value whether it returns a different attempt identifier
   */
  public ServerFaults withWrongAttemptId(boolean value) {
    return new ServerFaults(
        slowFactor, leaving, failFast, reportsIdle, closeWithoutAnswer, truncateAnswers, value);
  }
}
