package org.wagtailpin.benchmark.fleet;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.control.ThreadControlLoop;
import org.wagtailpin.store.memory.MemoryStore;

/**
 * Measures the cost of an entry's control plane (heartbeats, leases and shares) at several fleet
 * sizes and fits it to a line in the number of peers. All entries run in this process and
 * communicate over loopback sockets.
 */
public final class FleetCost {

  private static final int[] SIZES = {3, 6, 12, 24, 48};
  private static final long SETTLE_SECONDS = 20;
  private static final long MEASURE_SECONDS = 30;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double PERCENT = 100;
  private static final String NETWORK_THREAD_PREFIX = "entry-peer";
  private static final int CHECKED_LIMIT = 240;

  private final Clock clock = new SystemClock();
  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

  private FleetCost() {}

  /**
   * Runs the measurement and prints its table and fits.
   *
   * @param args ignored
   * @throws InterruptedException if the thread is interrupted during the measurement
   */
  public static void main(String[] args) throws InterruptedException {
    FleetCost cost = new FleetCost();
    List<FleetSample> samples = new ArrayList<>();
    System.out.println(
        "entries  sent B/s  sent msg/s  control pct  network pct  heap KB"
            + "  lease calls/s  other calls/s (fleet)");
    for (int size : SIZES) {
      FleetSample sample = cost.measure(size);
      samples.add(sample);
      System.out.printf(
          "%7d  %8.0f  %10.1f  %13.3f  %13.3f  %7.0f  %13.1f  %13.1f%n",
          sample.entries(),
          sample.sentBytesPerSecond(),
          sample.sentMessagesPerSecond(),
          sample.controlPercentOfCore(),
          sample.networkPercentOfCore(),
          sample.heapBytes() / 1024,
          sample.leaseCallsPerSecond(),
          sample.otherCallsPerSecond());
    }
    printFit("sent B/s", samples, FleetSample::sentBytesPerSecond);
    printFit("sent msg/s", samples, FleetSample::sentMessagesPerSecond);
    printFit("control pct", samples, FleetSample::controlPercentOfCore);
    printFit("network pct", samples, FleetSample::networkPercentOfCore);
    printFit("heap B", samples, FleetSample::heapBytes);
  }

  private FleetSample measure(int size) throws InterruptedException {
    long heapBefore = liveHeapBytes();
    ThreadControlLoop storeLoop = new ThreadControlLoop("store");
    CountingStore store = new CountingStore(new MemoryStore(clock, storeLoop));
    List<MeasuredEntry> entries = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      entries.add(new MeasuredEntry(i, clock, store, i));
    }
    TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
    requireFullShares(entries);
    FleetSample sample = sample(size, entries, store, heapBefore);
    entries.forEach(MeasuredEntry::close);
    storeLoop.close();
    return sample;
  }

  private FleetSample sample(
      int size, List<MeasuredEntry> entries, CountingStore store, long heapBefore)
      throws InterruptedException {
    long leaseCalls = store.leaseCalls();
    long otherCalls = store.otherCalls();
    long bytes = sum(entries, entry -> entry.traffic().sentBytes());
    long messages = sum(entries, entry -> entry.traffic().sentFrames());
    long control = threadNanos(MeasuredEntry.CONTROL_THREAD_PREFIX);
    long network = threadNanos(NETWORK_THREAD_PREFIX);
    double startMillis = clock.exactMillis();
    TimeUnit.SECONDS.sleep(MEASURE_SECONDS);
    double seconds = (clock.exactMillis() - startMillis) / 1000;
    double entrySeconds = seconds * size;
    double nanosPerPercent = entrySeconds * NANOS_PER_SECOND / PERCENT;
    return new FleetSample(
        size,
        (sum(entries, entry -> entry.traffic().sentBytes()) - bytes) / entrySeconds,
        (sum(entries, entry -> entry.traffic().sentFrames()) - messages) / entrySeconds,
        (threadNanos(MeasuredEntry.CONTROL_THREAD_PREFIX) - control) / nanosPerPercent,
        (threadNanos(NETWORK_THREAD_PREFIX) - network) / nanosPerPercent,
        (double) (liveHeapBytes() - heapBefore) / size,
        (store.leaseCalls() - leaseCalls) / seconds,
        (store.otherCalls() - otherCalls) / seconds);
  }

  private static void requireFullShares(List<MeasuredEntry> entries) {
    long sum = sum(entries, entry -> entry.membership().integerShare("x", CHECKED_LIMIT));
    if (sum != CHECKED_LIMIT) {
      throw new IllegalStateException(
          "shares add up to " + sum + " of " + CHECKED_LIMIT + "; the fleet has not converged");
    }
  }

  private static long sum(List<MeasuredEntry> entries, ToLongFunction<MeasuredEntry> value) {
    return entries.stream().mapToLong(value).sum();
  }

  private long threadNanos(String namePrefix) {
    long nanos = 0;
    for (long id : threads.getAllThreadIds()) {
      ThreadInfo info = threads.getThreadInfo(id);
      if (info != null && info.getThreadName().startsWith(namePrefix)) {
        nanos += Math.max(0, threads.getThreadCpuTime(id));
      }
    }
    return nanos;
  }

  private static long liveHeapBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static void printFit(
      String name, List<FleetSample> samples, ToDoubleFunction<FleetSample> value) {
    double meanX = samples.stream().mapToDouble(s -> s.entries() - 1).average().orElse(0);
    double meanY = samples.stream().mapToDouble(value).average().orElse(0);
    double products = 0;
    double squares = 0;
    for (FleetSample sample : samples) {
      double x = sample.entries() - 1 - meanX;
      products += x * (value.applyAsDouble(sample) - meanY);
      squares += x * x;
    }
    double slope = products / squares;
    System.out.printf("%s = %.4g + %.4g per peer%n", name, meanY - slope * meanX, slope);
  }
}
