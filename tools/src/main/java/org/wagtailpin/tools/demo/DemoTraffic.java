package org.wagtailpin.tools.demo;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.asynchttpclient.AsyncHttpClient;
import org.wagtailpin.benchmark.load.LoadClients;
import org.wagtailpin.benchmark.load.LoadPlan;
import org.wagtailpin.benchmark.load.LoadResult;
import org.wagtailpin.benchmark.load.OpenLoopLoad;
import org.wagtailpin.daemon.EntryNode;
import org.wagtailpin.transport.EventLoops;

/**
 * The traffic of the demonstration: lessons and orders to each entry, and lessons straight to a
 * server for comparison.
 */
final class DemoTraffic implements AutoCloseable {

  private static final int MAX_CONNECTIONS = 400;
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final double LESSONS_PER_SECOND = 150;
  private static final double ORDERS_PER_SECOND = 30;
  private static final double DIRECT_CALLS_PER_SECOND = 60;
  private static final int ORDER_BYTES = 200;

  private final EventLoopGroup loops = EventLoops.create(2, "callers");
  private final AsyncHttpClient client = LoadClients.create(loops, MAX_CONNECTIONS, TIMEOUT_MILLIS);
  private final ExecutorService senders = Executors.newCachedThreadPool();
  private final List<Future<LoadResult>> lessons = new ArrayList<>();
  private final List<Future<LoadResult>> orders = new ArrayList<>();
  private final long seed;
  private Future<LoadResult> direct;

  DemoTraffic(long seed) {
    this.seed = seed;
  }

  void start(DemoSite site, int seconds) {
    int number = 0;
    for (EntryNode entry : site.entries()) {
      String target =
          "http://"
              + entry.callerAddress().getAddress().getHostAddress()
              + ":"
              + entry.callerAddress().getPort();
      lessons.add(
          submit(target, lessonPlan(LESSONS_PER_SECOND, seconds, number), "lesson" + number));
      orders.add(submit(target, orderPlan(seconds, number), "order" + number));
      number++;
    }
    direct =
        submit(
            site.directServerAddress(),
            lessonPlan(DIRECT_CALLS_PER_SECOND, seconds, number),
            "direct");
  }

  private Future<LoadResult> submit(String target, LoadPlan plan, String runName) {
    return senders.submit(() -> new OpenLoopLoad(client, plan, target, runName).run());
  }

  private LoadPlan lessonPlan(double callsPerSecond, int seconds, int number) {
    return new LoadPlan(
        callsPerSecond,
        seconds,
        1,
        "GET",
        "/lessons/1",
        0,
        MAX_CONNECTIONS,
        TIMEOUT_MILLIS,
        false,
        seed + number);
  }

  private LoadPlan orderPlan(int seconds, int number) {
    return new LoadPlan(
        ORDERS_PER_SECOND,
        seconds,
        1,
        "POST",
        "/orders",
        ORDER_BYTES,
        MAX_CONNECTIONS,
        TIMEOUT_MILLIS,
        true,
        seed + 100 + number);
  }

  List<LoadResult> lessons() throws InterruptedException, ExecutionException {
    return results(lessons);
  }

  List<LoadResult> orders() throws InterruptedException, ExecutionException {
    return results(orders);
  }

  LoadResult direct() throws InterruptedException, ExecutionException {
    return direct.get();
  }

  private static List<LoadResult> results(List<Future<LoadResult>> futures)
      throws InterruptedException, ExecutionException {
    List<LoadResult> results = new ArrayList<>();
    for (Future<LoadResult> future : futures) {
      results.add(future.get());
    }
    return results;
  }

  @Override
  public void close() throws IOException {
    senders.shutdownNow();
    client.close();
    loops.shutdownGracefully();
  }
}
