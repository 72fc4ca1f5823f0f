package org.wagtailpin.benchmark.experiment;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.wagtailpin.benchmark.experiment.ExperimentFile.FaultSpec;
import org.wagtailpin.benchmark.experiment.ExperimentFile.ServiceSpec;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.limits.BudgetedRetryPolicy;
import org.wagtailpin.limits.RetryBudgets;
import org.wagtailpin.limits.RouteStatistics;
import org.wagtailpin.routing.Locality;
import org.wagtailpin.routing.SharedRandom;

/**
 * One run of one version with one seed: starts servers and entries, runs the phases, closes all.
 */
final class VersionRun {

  private static final long START_DELAY_MILLIS = 100;
  private static final long FINAL_ANSWER_WAIT_MILLIS = 1500;

  private final ExperimentFile file;
  private final Topology topology;
  private final long seed;
  private final EventLoopGroup loops;
  private final VersionResult result;
  private final SystemClock clock = new SystemClock();
  private final ExecutionCounter executionCounter = new ExecutionCounter();
  private final Map<String, StandInServer> servers = new HashMap<>();
  private final List<EntryClient> entries = new ArrayList<>();
  private volatile Version version;

  VersionRun(ExperimentFile file, long seed, EventLoopGroup loops, VersionResult result) {
    this.file = file;
    this.topology = new Topology(file);
    this.seed = seed;
    this.loops = loops;
    this.result = result;
  }

  /**
   * Runs all phases and adds the measurements to the result; blocks until the run has ended.
   *
   * @throws InterruptedException if the thread is interrupted during the run
   */
  void run() throws InterruptedException {
    startServers();
    startEntries();
    double start = clock.exactMillis() + START_DELAY_MILLIS;
    entries.forEach(entry -> entry.start(start));
    List<Future<?>> faults = scheduleFaults();
    TimeUnit.MILLISECONDS.sleep(
        START_DELAY_MILLIS + result.phases().totalMillis() + FINAL_ANSWER_WAIT_MILLIS);
    faults.forEach(fault -> fault.cancel(false));
    stop();
  }

  private void startServers() throws InterruptedException {
    for (ServiceSpec service : file.services()) {
      for (int i = 0; i < service.servers(); i++) {
        String name = Topology.serverName(service, i);
        Runnable freed = () -> version.slotFreed(name);
        servers.put(
            name,
            new StandInServer(
                name, service.slots(), service.shedAt(), executionCounter, freed, loops));
      }
    }
  }

  private void startEntries() throws InterruptedException {
    Map<String, Integer> ports = new HashMap<>();
    servers.forEach((name, server) -> ports.put(name, server.port()));
    ConfigSnapshot snapshot = topology.snapshot(ports);
    version = Versions.create(result.name(), file, () -> snapshot, clock);
    for (int i = 0; i < file.entries(); i++) {
      entries.add(entry(i, () -> snapshot));
    }
  }

  private EntryClient entry(int number, ConfigSource config) throws InterruptedException {
    EventLoop loop = loops.next();
    RouteStatistics statistics = new RouteStatistics(clock);
    Locality locality = topology.locality(number);
    EntryContext context =
        new EntryContext(
            number,
            file.entries(),
            seed,
            locality,
            config,
            clock,
            (delay, task) -> scheduled(loop, delay, task),
            statistics,
            result.rules());
    BudgetedRetryPolicy retries =
        new BudgetedRetryPolicy(
            config, clock, statistics, new RetryBudgets(), new SharedRandom(seed + number));
    EntryClient entry =
        new EntryClient(
            context,
            loop,
            version.placement(context),
            retries,
            file,
            result.phases(),
            executionCounter);
    connect(entry, locality);
    return entry;
  }

  private static org.wagtailpin.control.ScheduledTask scheduled(
      EventLoop loop, long delayMillis, Runnable task) {
    Future<?> future = loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    return () -> future.cancel(false);
  }

  private void connect(EntryClient entry, Locality locality) throws InterruptedException {
    for (ServiceSpec service : file.services()) {
      for (int i = 0; i < service.servers(); i++) {
        String name = Topology.serverName(service, i);
        double delay = topology.oneWayMillis(locality, topology.locality(i));
        entry.addLink(name, new ServerLink(entry.loop(), servers.get(name).port(), delay));
      }
    }
  }

  private List<Future<?>> scheduleFaults() {
    List<Future<?>> scheduled = new ArrayList<>();
    for (FaultSpec fault : file.faults()) {
      StandInServer server = servers.get(fault.service() + "-" + fault.server());
      ServerFault injected = new ServerFault(fault.kind(), fault.factor());
      scheduled.add(at(fault.fromMillis(), () -> server.setFault(injected)));
      scheduled.add(at(fault.toMillis(), () -> server.setFault(ServerFault.NONE)));
    }
    return scheduled;
  }

  private Future<?> at(long runMillis, Runnable task) {
    return loops.schedule(task, START_DELAY_MILLIS + runMillis, TimeUnit.MILLISECONDS);
  }

  private void stop() throws InterruptedException {
    for (EntryClient entry : entries) {
      for (ServerLink link : entry.links().values()) {
        link.close();
      }
    }
    for (StandInServer server : servers.values()) {
      result.finished(server.name(), server.finishedCalls());
      server.close();
    }
  }
}
