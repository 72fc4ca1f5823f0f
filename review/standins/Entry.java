package review;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** One entry process, started by the command of the deploy file with settings from its template. */
final class Entry implements AutoCloseable {

  private static final List<Process> STARTED = new CopyOnWriteArrayList<>();
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

  /** The fields that the template of an entry's settings names. */
  record Site(String storeAddress, Map<String, String> regionsByZone, String seeds) {}

  private final String name;
  private final String address;
  private final int front;
  private final int ready;
  private final int control;
  private final Path settings;
  private final Path log;
  private Process process;

  Entry(String name, String address, Path folder) throws IOException {
    this.name = name;
    this.address = address;
    this.front = freePort(address);
    this.ready = freePort(address);
    this.control = freePort(address);
    this.settings = folder.resolve(name + ".json");
    this.log = folder.resolve(name + ".log");
  }

  /** Creates the folder of settings and logs; at the end all processes are ended, then it goes. */
  static Path temporaryFolder() throws IOException {
    Path folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(() -> cleanUp(folder)));
    return folder;
  }

  private static void cleanUp(Path folder) {
    STARTED.forEach(Process::destroyForcibly);
    try {
      for (Process each : STARTED) {
        each.waitFor(5, TimeUnit.SECONDS);
      }
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    } catch (IOException | InterruptedException e) {
      System.err.println("could not remove " + folder);
    }
  }

  private static int freePort(String address) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
      return socket.getLocalPort();
    }
  }

  String name() {
    return name;
  }

  String address() {
    return address;
  }

  int front() {
    return front;
  }

  String controlAddress() {
    return address + ":" + control;
  }

  Process process() {
    return process;
  }

  void start(Site site, String zone, boolean firstStart) throws IOException {
    Files.writeString(settings, settings(site, zone, firstStart));
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("WAGTAILPIN_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
    process = builder.start();
    STARTED.add(process);
  }

  private String settings(Site site, String zone, boolean firstStart) throws IOException {
    StringBuilder zones = new StringBuilder();
    site.regionsByZone()
        .forEach(
            (each, region) ->
                zones
                    .append(zones.isEmpty() ? "" : ",")
                    .append("\"" + each + "\":\"" + region + "\""));
    return Files.readString(Path.of("deploy/entry.json"))
        .replace("{{#seeds.0}}", "")
        .replace("{{/seeds.0}}", "")
        .replace("{{node}}", name)
        .replace("{{region}}", site.regionsByZone().get(zone))
        .replace("{{zone}}", zone)
        .replace("{{listen.front}}", address + ":" + front)
        .replace("{{listen.ready}}", address + ":" + ready)
        .replace("{{listen.control}}", address + ":" + control)
        .replace("{{seeds}}", site.seeds())
        .replace("{{platform.address}}", site.storeAddress())
        .replace("{{bounds.graceS}}", "6")
        .replace("{{bounds.configMs}}", "2000")
        .replace("{{bounds.drainMs}}", "2000")
        .replace("{{bounds.budgetSlack}}", "58")
        .replace("{{bounds.probesPerS}}", "60")
        .replace("{{bootstrap|json}}", Boolean.toString(firstStart))
        .replace("{{zones|json}}", "{" + zones + "}");
  }

  boolean isReady() {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create("http://" + address + ":" + ready + "/ready").toURL().openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      return connection.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean awaitReady(long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      if (isReady()) {
        return true;
      }
      Threads.sleep(50);
    }
    return false;
  }

  /** Sends a signal, by its name, to the process. */
  void signal(String signal) throws IOException {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
          .inheritIO()
          .start()
          .waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
