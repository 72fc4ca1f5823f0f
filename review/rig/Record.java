import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each thing that was sent, answered or run. Thread-safe. */
final class Record implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter file;

  Record(Path path) throws IOException {
    file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8));
  }

  /** Returns the milliseconds since the start of the run. */
  double millis() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  synchronized void line(String text) {
    file.println(String.format(Locale.ROOT, "%10.1f ms  %s", millis(), text));
  }

  /** Writes a line to the record and to the console. */
  void say(String text) {
    line(text);
    System.out.println(text);
  }

  @Override
  public synchronized void close() {
    file.close();
  }
}
