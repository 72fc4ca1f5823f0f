package org.wagtailpin.daemon.log;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * Buffered lines on standard output or standard error, shared by the log library and the event log
 * so that their lines do not mix. Thread-safe.
 */
public final class ConsoleLines {

  /** Name of standard output; every other name stands for standard error. */
  public static final String STANDARD_OUTPUT = "out";

  private static final String STREAM_PROPERTY = "tinylog.writer.stream";
  private static final int BUFFER_BYTES = 65_536;

  private ConsoleLines() {}

  /** Holds the stream of standard output, opened at its first use. */
  private static final class Out {
    private static final PrintStream STREAM = open(FileDescriptor.out);
  }

  /** Holds the stream of standard error, opened at its first use. */
  private static final class Err {
    private static final PrintStream STREAM = open(FileDescriptor.err);
  }

  private static PrintStream open(FileDescriptor descriptor) {
    return new PrintStream(
        new BufferedOutputStream(new FileOutputStream(descriptor), BUFFER_BYTES),
        false,
        StandardCharsets.UTF_8);
  }

  /**
   * Returns a stream. What is printed appears with the next flush.
   *
   * @param name {@link #STANDARD_OUTPUT}, or anything else or null for standard error
   */
  public static PrintStream of(String name) {
    return STANDARD_OUTPUT.equals(name) ? Out.STREAM : Err.STREAM;
  }

  /** Returns the stream that the log library's system property names. */
  public static PrintStream configured() {
    return of(System.getProperty(STREAM_PROPERTY));
  }
}
