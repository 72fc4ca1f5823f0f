package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.config.ConfigObject;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigServerSet;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.membership.LimitShares;

class RoutingTableTest {

  private static final int THREADS = 4;
  private static final int ROUNDS = 200;
  private static final int SERVICES = 64;

  private final AtomicReference<ConfigSnapshot> current =
      new AtomicReference<>(ConfigSnapshot.empty());

  /**
   * Guards against refusing a call to a new service with `no-server` while another thread rebuilds
   * the table. Found by EntryReplacementTest.
   */
  @Test
  void aNewServiceIsKnownToEveryThreadThatSeesItsConfiguration() throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(THREADS);
    try {
      for (int round = 0; round < ROUNDS; round++) {
        current.set(ConfigSnapshot.empty());
        ManualClock clock = new ManualClock(0);
        RoutingTable table =
            new RoutingTable(current::get, new Locality("north", "north-a"), clock, links(clock));
        assertWithMessage("round " + round).that(missing(table, threads)).isEqualTo(0);
      }
    } finally {
      threads.shutdownNow();
    }
  }

  @Test
  void theFirstServersOfAServiceTakeWorkAtOnceAlsoIfTheServiceWasKnownBefore() {
    ManualClock clock = new ManualClock(100_000);
    RoutingTable table =
        new RoutingTable(current::get, new Locality("north", "north-a"), clock, links(clock));
    ConfigService service = new ConfigService("work", false, List.of(), Optional.empty());
    current.set(new ConfigSnapshot(1, List.of(service)));
    assertWithMessage("servers").that(table.service("work").get().view().size()).isEqualTo(0);

    current.set(
        new ConfigSnapshot(2, List.of(service, new ConfigServerSet("w", "work", servers("work")))));
    ServerState first = table.service("work").get().view().at(0);

    assertWithMessage("ramp").that(first.health().rampShare(clock.millis(), 3_000)).isEqualTo(1.0);
  }

  private static RegionLinks links(ManualClock clock) {
    LimitShares all =
        new LimitShares() {
          @Override
          public int integerShare(String limitName, int limit) {
            return limit;
          }

          @Override
          public double share(double limit) {
            return limit;
          }
        };
    return new RegionLinks("north", all, clock, ConfigSnapshot.empty());
  }

  private int missing(RoutingTable table, ExecutorService threads) throws Exception {
    CyclicBarrier start = new CyclicBarrier(THREADS, () -> current.set(snapshot()));
    List<Future<Boolean>> results = new ArrayList<>();
    for (int thread = 0; thread < THREADS; thread++) {
      results.add(
          threads.submit(
              () -> {
                start.await();
                return table.service("service-0").isPresent();
              }));
    }
    int missing = 0;
    for (Future<Boolean> result : results) {
      missing += result.get() ? 0 : 1;
    }
    return missing;
  }

  private static ConfigSnapshot snapshot() {
    List<ConfigObject> objects = new ArrayList<>();
    for (int number = 0; number < SERVICES; number++) {
      String name = "service-" + number;
      objects.add(new ConfigService(name, false, List.of(), Optional.empty()));
      objects.add(new ConfigServerSet(name, name, servers(name)));
    }
    return new ConfigSnapshot(1, objects);
  }

  private static List<ConfigServer> servers(String service) {
    List<ConfigServer> servers = new ArrayList<>();
    for (int number = 0; number < 12; number++) {
      servers.add(
          new ConfigServer(
              service + "-" + number, "127.0.0.1", 1, "north", "north-a", 6, 240, false));
    }
    return servers;
  }
}
