package org.wagtailpin.daemon.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Log writer that prints each entry to the console as a JSON object on a line of its own.
 *
 * <p>Lines are buffered until the log library flushes, which it does when its queue is empty, so
 * that a burst of lines takes one system call.
 */
public final class JsonConsoleWriter implements Writer {

  private static final String STREAM = "stream";

  private final JsonFactory factory = new JsonFactory();
  private final PrintStream stream;

  /**
   * Creates the writer; called by the log library.
   *
   * @param properties the writer's properties; {@code stream} is {@code out} for standard output,
   *     anything else for standard error
   */
  public JsonConsoleWriter(Map<String, String> properties) {
    this(ConsoleLines.of(properties.get(STREAM)));
  }

  JsonConsoleWriter(PrintStream stream) {
    this.stream = stream;
  }

  @Override
  public Collection<LogEntryValue> getRequiredLogEntryValues() {
    return EnumSet.of(
        LogEntryValue.DATE,
        LogEntryValue.LEVEL,
        LogEntryValue.THREAD,
        LogEntryValue.CLASS,
        LogEntryValue.MESSAGE,
        LogEntryValue.EXCEPTION);
  }

  @Override
  public void write(LogEntry entry) throws IOException {
    StringWriter line = new StringWriter();
    try (JsonGenerator json = factory.createGenerator(line)) {
      json.writeStartObject();
      json.writeStringField("time", entry.getTimestamp().toInstant().toString());
      json.writeStringField("level", entry.getLevel().name().toLowerCase(Locale.ROOT));
      json.writeStringField("thread", entry.getThread().getName());
      json.writeStringField("class", entry.getClassName());
      if (entry.getMessage() != null) {
        json.writeStringField("message", entry.getMessage());
      }
      if (entry.getException() != null) {
        json.writeStringField("exception", stackTrace(entry.getException()));
      }
      json.writeEndObject();
    }
    stream.println(line);
  }

  private static String stackTrace(Throwable exception) {
    StringWriter text = new StringWriter();
    exception.printStackTrace(new PrintWriter(text, true));
    return text.toString();
  }

  @Override
  public void flush() {
    stream.flush();
  }

  @Override
  public void close() {
    stream.flush();
  }
}
