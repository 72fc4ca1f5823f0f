package org.wagtailpin.benchmark.experiment;

import io.netty.channel.EventLoopGroup;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.wagtailpin.transport.EventLoops;

/** Runs all versions of an experiment one after another with each seed in turn. */
final class Experiment {

  private static final int EVENT_LOOPS = 4;

  private final ExperimentFile file;
  private final PrintStream progress;

  Experiment(ExperimentFile file, PrintStream progress) {
    this.file = file;
    this.progress = progress;
  }

  /**
   * Runs all versions with all seeds.
   *
   * @return the results in the order of the versions
   * @throws InterruptedException if the thread is interrupted during a run
   */
  List<VersionResult> run() throws InterruptedException {
    List<VersionResult> results = new ArrayList<>();
    for (String version : file.versions()) {
      results.add(new VersionResult(version, new Phases(file.phases())));
    }
    EventLoopGroup loops = EventLoops.create(EVENT_LOOPS, "experiment");
    try {
      for (long seed : file.seeds()) {
        for (VersionResult result : results) {
          progress.println("seed " + seed + ", " + result.name());
          new VersionRun(file, seed, loops, result).run();
        }
      }
    } finally {
      loops.shutdownGracefully().sync();
    }
    return results;
  }
}
