package org.wagtailpin.benchmark.load;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Recorder;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;

/**
 * Open-loop load generator: sends calls as a seeded Poisson process, whether or not earlier calls
 * were answered, and counts the outcomes.
 *
 * <p>Latencies are measured from the intended send time, so that delays of the sender count as
 * latency (no coordinated omission).
 */
public final class OpenLoopLoad {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long NANOS_PER_MICRO = 1000;
  private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int OK = 200;
  private static final long MAX_SPIN_NANOS = 50_000;

  private final AsyncHttpClient client;
  private final LoadPlan plan;
  private final String target;
  private final String runName;
  private final Recorder recorder = new Recorder(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  private final LongAdder whole = new LongAdder();
  private final LongAdder notRun = new LongAdder();
  private final LongAdder unknown = new LongAdder();
  private final LongAdder failed = new LongAdder();
  // Starts at 1 for the sender, so that the count cannot reach 0 before the last call is sent.
  private final AtomicLong pendingCalls = new AtomicLong(1);
  private final CountDownLatch allCompleted = new CountDownLatch(1);
  private final byte[] body;

  /**
   * Creates a load; {@link #run} sends it once.
   *
   * @param client the HTTP client, not closed by this class
   * @param plan the parameters of the load
   * @param target the start of the URL, with scheme, address and port
   * @param runName a name that makes this run's work identifiers unique
   */
  public OpenLoopLoad(AsyncHttpClient client, LoadPlan plan, String target, String runName) {
    this.client = client;
    this.plan = plan;
    this.target = target;
    this.runName = runName;
    this.body = "x".repeat(plan.bodyBytes()).getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * Sends the load and waits for outstanding answers, at most twice the call timeout; calls still
   * unanswered then count as failed.
   *
   * @return the outcomes of the calls after the warm-up
   */
  public LoadResult run() {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.seed());
    long start = System.nanoTime();
    long measureStart = start + plan.warmUpSeconds() * NANOS_PER_SECOND;
    long end = measureStart + plan.seconds() * NANOS_PER_SECOND;
    long number = 0;
    for (double next = start; next < end; next += gapNanos(random)) {
      waitUntil((long) next);
      send(number++, (long) next, next >= measureStart);
    }
    awaitAnswers();
    return new LoadResult(
        target,
        recorder.getIntervalHistogram(),
        plan.seconds(),
        whole.sum(),
        notRun.sum(),
        unknown.sum(),
        failed.sum());
  }

  private double gapNanos(UniformRandomProvider random) {
    // Interarrival times of a Poisson process are exponentially distributed.
    return -Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / plan.callsPerSecond();
  }

  private static void waitUntil(long nanos) {
    long left = nanos - System.nanoTime();
    while (left > 0) {
      if (left > MAX_SPIN_NANOS) {
        LockSupport.parkNanos(left - MAX_SPIN_NANOS);
      } else {
        Thread.onSpinWait();
      }
      left = nanos - System.nanoTime();
    }
  }

  private void send(long number, long intendedNanos, boolean measured) {
    String workId = runName + "-" + number;
    RequestBuilder builder =
        new RequestBuilder(plan.method(), true)
            .setUrl(target + plan.path())
            .setHeader("X-Work-Id", workId);
    if (plan.keyed()) {
      builder.setHeader("Idempotency-Key", workId);
    }
    if (body.length > 0) {
      builder.setBody(body);
    }
    Request request = builder.build();
    pendingCalls.incrementAndGet();
    client
        .executeRequest(request)
        .toCompletableFuture()
        .whenComplete(
            (response, error) -> {
              if (measured) {
                count(response, error, workId, intendedNanos);
              }
              completed();
            });
  }

  private void count(Response response, Throwable error, String workId, long intendedNanos) {
    if (error != null) {
      failed.increment();
      return;
    }
    String outcome = response.getHeader("Wagtailpin-Outcome");
    if ("not-run".equals(outcome)) {
      notRun.increment();
    } else if ("unknown".equals(outcome)) {
      unknown.increment();
    } else if (response.getStatusCode() == OK
        && response.getResponseBody().contains("\"work\":\"" + workId + "\"")) {
      whole.increment();
      recorder.recordValue(
          Math.min(MAX_LATENCY_MICROS, (System.nanoTime() - intendedNanos) / NANOS_PER_MICRO));
    } else {
      failed.increment();
    }
  }

  private void completed() {
    if (pendingCalls.decrementAndGet() == 0) {
      allCompleted.countDown();
    }
  }

  private void awaitAnswers() {
    completed();
    try {
      if (!allCompleted.await(plan.timeoutMillis() * 2L, TimeUnit.MILLISECONDS)) {
        failed.add(pendingCalls.get());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
