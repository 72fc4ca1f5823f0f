package org.wagtailpin.tools;

/** The exit codes of all commands. */
public final class ExitCode {

  /** What was asked for is done. */
  public static final int DONE = 0;

  /** What was asked for is not done. */
  public static final int NOT_DONE = 1;

  /** The command was not understood. */
  public static final int USAGE = 2;

  /** It is not known whether what was asked for is done. */
  public static final int UNKNOWN = 3;

  private ExitCode() {}
}
