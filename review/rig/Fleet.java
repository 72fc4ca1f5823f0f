import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.stream.Stream;

/** A small deployment: entries in some zones, each zone a region of its own, and their store. */
final class Fleet implements AutoCloseable {

  private static final int SEEDS = 3;

  private final Path folder;
  private final StandInStore store;
  private final List<EntryProcess> entries = new ArrayList<>();

  /**
   * Creates entries that are not started. The entries of each zone come one after another; the
   * first entry of each zone is a seed, up to three.
   *
   * @param zones the number of zones
   * @param perZone the number of entries in each zone
   */
  Fleet(int zones, int perZone) throws IOException {
    Path root = Path.of("").toAbsolutePath();
    folder = Files.createTempDirectory("wagtailpin-review");
    store = new StandInStore("127.0.9.1");
    StringJoiner zoneTable = new StringJoiner(",", "{", "}");
    for (int zone = 0; zone < zones; zone++) {
      zoneTable.add("\"zone-" + zone + "\":\"region-" + zone + "\"");
    }
    for (int zone = 0; zone < zones; zone++) {
      for (int i = 0; i < perZone; i++) {
        entries.add(new EntryProcess(root, folder, values(zone, i, zoneTable.toString())));
      }
    }
    StringJoiner seeds = new StringJoiner(",");
    for (int zone = 0; zone < Math.min(SEEDS, zones); zone++) {
      seeds.add(entries.get(zone * perZone).control());
    }
    setSeeds(seeds.toString());
  }

  private Map<String, String> values(int zone, int index, String zoneTable) throws IOException {
    String ip = "127.0." + (10 + zone) + "." + (1 + index);
    Map<String, String> values = new HashMap<>();
    values.put("node", "front-" + zone + "-" + index);
    values.put("zone", "zone-" + zone);
    values.put("region", "region-" + zone);
    values.put("listen.front", ip + ":" + EntryProcess.freePort(ip));
    values.put("listen.ready", ip + ":" + EntryProcess.freePort(ip));
    values.put("listen.control", ip + ":" + EntryProcess.freePort(ip));
    values.put("platform.address", store.address());
    values.put("bounds.graceS", "6");
    values.put("bounds.configMs", "2000");
    values.put("bounds.drainMs", "2000");
    values.put("bounds.budgetSlack", "60");
    values.put("bounds.probesPerS", "60");
    values.put("bootstrap", "true");
    values.put("zones", zoneTable);
    values.put("heartbeatMs", "1500");
    return values;
  }

  /** Sets the control addresses that entries get at their next start. */
  void setSeeds(String seeds) {
    for (EntryProcess entry : entries) {
      entry.setValue("seeds", seeds);
      entry.setValue("seeds.0", seeds);
    }
  }

  StandInStore store() {
    return store;
  }

  List<EntryProcess> entries() {
    return entries;
  }

  /** Waits until entries are ready; returns whether all were in time. */
  static boolean awaitReady(List<EntryProcess> entries, long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    for (EntryProcess entry : entries) {
      while (!entry.ready()) {
        if (System.nanoTime() > end) {
          return false;
        }
        Threads.sleep(100);
      }
    }
    return true;
  }

  @Override
  public void close() throws IOException {
    entries.forEach(EntryProcess::kill);
    store.close();
    if (System.getenv("KEEP_LOGS") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    } else {
      System.out.println("logs of the entries: " + folder);
    }
  }
}
