import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry of the project, started by the command of the deploy file. */
final class EntryProcess {

  private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]*)\"");
  private static final Pattern SECTION =
      Pattern.compile("\\{\\{#([^}]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}", Pattern.DOTALL);
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}|]+)(\\|json)?\\}\\}");

  private static boolean stopped;

  private final Path root;
  private final Path folder;
  private final Map<String, String> values;
  private Process process;

  /**
   * Creates an entry that is not started.
   *
   * @param root the root of the repository
   * @param folder receives its settings and its output
   * @param values the values of the placeholders of the template of settings
   */
  EntryProcess(Path root, Path folder, Map<String, String> values) {
    this.root = root;
    this.folder = folder;
    this.values = values;
  }

  /** Kills entries, and has no further one start. */
  static void stopAll(List<EntryProcess> entries) {
    synchronized (EntryProcess.class) {
      stopped = true;
    }
    entries.forEach(EntryProcess::kill);
  }

  static int freePort(String address) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
      return socket.getLocalPort();
    }
  }

  String name() {
    return values.get("node");
  }

  String zone() {
    return values.get("zone");
  }

  String frontHost() {
    return values.get("listen.front").split(":")[0];
  }

  int frontPort() {
    return Integer.parseInt(values.get("listen.front").split(":")[1]);
  }

  String control() {
    return values.get("listen.control");
  }

  void start() throws IOException {
    Path settings = folder.resolve(name() + ".json");
    Files.writeString(settings, settings());
    Matcher run =
        RUN.matcher(Files.readString(root.resolve("deploy/system.toml"), StandardCharsets.UTF_8));
    if (!run.find()) {
      throw new IOException("no command in the deploy file");
    }
    List<String> words = Arrays.asList(run.group(1).split(" "));
    ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile());
    builder.environment().put("WAGTAILPIN_NODE_FILE", settings.toString());
    builder.environment().put("WAGTAILPIN_RENEWAL_MILLIS", values.get("heartbeatMs"));
    File output = folder.resolve(name() + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output));
    synchronized (EntryProcess.class) {
      if (stopped) {
        throw new IOException("the case is being stopped");
      }
      process = builder.start();
    }
  }

  /** Fills in the template of settings as DEPLOY.md says, as far as the template needs it. */
  private String settings() throws IOException {
    String text = Files.readString(root.resolve("deploy/entry.json"), StandardCharsets.UTF_8);
    String present =
        SECTION
            .matcher(text)
            .replaceAll(
                section ->
                    Matcher.quoteReplacement(
                        values.containsKey(section.group(1)) ? section.group(2) : ""));
    return PLACEHOLDER
        .matcher(present)
        .replaceAll(
            place -> Matcher.quoteReplacement(values.getOrDefault(place.group(1), "")));
  }

  void setValue(String name, String value) {
    values.put(name, value);
  }

  boolean ready() {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create("http://" + values.get("listen.ready") + "/ready").toURL().openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      int status = connection.getResponseCode();
      connection.disconnect();
      return status == 200;
    } catch (IOException e) {
      return false;
    }
  }

  long pid() {
    return process.pid();
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  /** Kills the process (SIGKILL) and waits for its end. */
  void kill() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }
}
