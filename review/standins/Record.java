package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What a case has sent, answered and run, with the time since its start. */
final class Record implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void line(String format, Object... values) {
    out.printf("%9.3f ", (System.nanoTime() - startNanos) / 1e9);
    out.printf(format, values);
    out.println();
  }

  /** Writes a line to the console, too. */
  void result(String format, Object... values) {
    line(format, values);
    System.out.printf(format + "%n", values);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
