package review;

/** Ends a case, with an exit code that run.sh tells from that of a run that failed. */
final class Result {

  /** Added to the result of a case, as the JVM itself ends with 1 after an uncaught exception. */
  private static final int OFFSET = 10;

  private static final int NOT_RUN = 2;

  private Result() {}

  /**
   * Ends the process.
   *
   * @param code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; a rule that
   *     held counts only if at least half of the requests were served
   */
  static void end(int code) {
    boolean served = 2 * Client.served() >= Client.sent() && Client.sent() > 0;
    if (code == 0 && !served) {
      System.out.printf(
          "could not run: %d of %d requests were served%n", Client.served(), Client.sent());
      System.exit(OFFSET + NOT_RUN);
    }
    System.exit(OFFSET + code);
  }
}
