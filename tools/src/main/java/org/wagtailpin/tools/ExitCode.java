package org.wagtailpin.tools;

/** The exit codes that all commands share. */
public final class ExitCode {

  /** The command did what was requested. */
  public static final int DONE = 0;

  /** The command did not do what was requested. */
  public static final int NOT_DONE = 1;

  /** The command or its arguments are invalid. */
  public static final int USAGE = 2;

  /** It is not known whether the command did what was requested. */
  public static final int UNKNOWN = 3;

  private ExitCode() {}
}
