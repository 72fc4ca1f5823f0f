package org.wagtailpin.caller;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.wagtailpin.call.Polling;
import org.wagtailpin.call.RawCaller;
import org.wagtailpin.call.RawHttpMessage;
import org.wagtailpin.call.RawServer;
import org.wagtailpin.call.TestEntry;

/** Tests the graceful shutdown of a listener. */
class DrainTest {

  private static final long GRACE_MILLIS = 15_000;
  private static final int CALLERS = 8;
  private static final int RESTARTS = 3;

  @Test
  void aCallInFlightCompletesAndItsAnswerClosesTheConnection() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch mayAnswer = new CountDownLatch(1);
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  arrived.countDown();
                  try {
                    mayAnswer.await(GRACE_MILLIS, TimeUnit.MILLISECONDS);
                  } catch (InterruptedException e) {
                    throw new IOException(e);
                  }
                  return to.answer(request, "", "whole");
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).start();
        RawCaller caller = entry.caller()) {
      caller.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
      arrived.await();
      CompletableFuture<Integer> cut = entry.listener().drain(GRACE_MILLIS);
      mayAnswer.countDown();
      RawHttpMessage answer = caller.read();

      assertThat(answer.text()).isEqualTo("whole");
      assertThat(answer.header("connection")).isEqualTo("close");
      caller.socket().shutdownOutput();
      assertThat(cut.get()).isEqualTo(0);
    }
  }

  /**
   * Makes calls until {@code stop} is set. Reconnects to the current entry when an answer closes
   * the connection.
   *
   * @return the number of calls with a status other than 200
   */
  private static int callUntilStopped(
      AtomicBoolean stop, AtomicInteger whole, Supplier<TestEntry> current) throws IOException {
    int failed = 0;
    while (!stop.get()) {
      try (RawCaller caller = current.get().caller()) {
        boolean open = true;
        while (open && !stop.get()) {
          RawHttpMessage answer = caller.call("POST", "/x", "", "1");
          failed += answer.status() == 200 ? 0 : 1;
          whole.incrementAndGet();
          open = !answer.header("connection").equals("close");
        }
      }
    }
    return failed;
  }

  @Test
  void restartsUnderLoadAbortNoCall() throws Exception {
    AtomicBoolean stop = new AtomicBoolean();
    AtomicInteger whole = new AtomicInteger();
    try (RawServer server = new RawServer((request, to) -> to.answer(request, "", "x"))) {
      List<TestEntry> entries = new ArrayList<>();
      var current = new AtomicReference<>(new TestEntry.Builder().server(server.port()).start());
      List<CompletableFuture<Integer>> failures = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        failures.add(
            CompletableFuture.supplyAsync(
                () -> {
                  try {
                    return callUntilStopped(stop, whole, current::get);
                  } catch (IOException e) {
                    throw new UncheckedIOException(e);
                  }
                },
                task -> new Thread(task, "caller").start()));
      }
      for (int i = 0; i < RESTARTS; i++) {
        int before = whole.get();
        Polling.until(() -> whole.get() > before + 200);
        TestEntry old = current.get();
        // As with an external balancer, new connections go to the next entry before the old one
        // drains.
        current.set(new TestEntry.Builder().server(server.port()).start());
        int noticed = whole.get();
        Polling.until(() -> whole.get() > noticed + 200);
        assertThat(old.listener().drain(GRACE_MILLIS).get()).isEqualTo(0);
        entries.add(old);
      }
      stop.set(true);
      for (CompletableFuture<Integer> failed : failures) {
        assertThat(failed.get()).isEqualTo(0);
      }
      entries.add(current.get());
      entries.forEach(TestEntry::close);
    }
  }

  @Test
  void aRequestThatMayOutlastTheGracePeriodIsRefusedAsNotRun() throws Exception {
    AtomicInteger ran = new AtomicInteger();
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  ran.incrementAndGet();
                  return to.answer(request, "", "x");
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).start();
        RawCaller caller = entry.caller()) {
      assertThat(caller.call("POST", "/x", "", "1").status()).isEqualTo(200);
      // The deadline of the test route is longer than this grace period.
      entry.listener().drain(1_000);
      RawHttpMessage answer = caller.call("POST", "/x", "", "2");

      assertThat(answer.status()).isEqualTo(503);
      assertThat(answer.header("connection")).isEqualTo("close");
      assertThat(answer.header("retry-after")).isNotEmpty();
      assertThat(ran.get()).isEqualTo(1);
    }
  }

  @Test
  void fromTheAnnouncementOnARequestThatMayOutlastTheEndIsRefusedAsNotRun() throws Exception {
    AtomicInteger ran = new AtomicInteger();
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  ran.incrementAndGet();
                  return to.answer(request, "", "x");
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).start();
        RawCaller caller = entry.caller()) {
      entry.listener().announceDrain(GRACE_MILLIS);
      RawHttpMessage inTime = caller.call("POST", "/x", "", "1");
      // The deadline of the test route is longer than the time that is left now.
      entry.listener().announceDrain(1_000);
      RawHttpMessage answer = caller.call("POST", "/x", "", "2");

      assertThat(inTime.status()).isEqualTo(200);
      assertThat(answer.status()).isEqualTo(503);
      assertThat(answer.header("connection")).isEqualTo("close");
      assertThat(ran.get()).isEqualTo(1);
    }
  }

  @Test
  void aConnectionThatArrivesWhileCallsAreStillInFlightIsServed() throws Exception {
    CountDownLatch mayAnswer = new CountDownLatch(1);
    CountDownLatch arrived = new CountDownLatch(1);
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  if (request.text().equals("slow")) {
                    arrived.countDown();
                    try {
                      mayAnswer.await(GRACE_MILLIS, TimeUnit.MILLISECONDS);
                    } catch (InterruptedException e) {
                      throw new IOException(e);
                    }
                  }
                  return to.answer(request, "", request.text());
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).start();
        RawCaller slow = entry.caller()) {
      slow.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nslow");
      arrived.await();
      CompletableFuture<Integer> cut = entry.listener().drain(GRACE_MILLIS);
      try (RawCaller late = entry.caller()) {
        RawHttpMessage answer = late.call("POST", "/x", "", "late");
        assertThat(answer.text()).isEqualTo("late");
        assertThat(answer.header("connection")).isEqualTo("close");
      }
      mayAnswer.countDown();
      assertThat(slow.read().text()).isEqualTo("slow");
      slow.socket().shutdownOutput();
      assertThat(cut.get()).isEqualTo(0);
    }
  }

  @Test
  void aSecondDrainCompletesAfterTheAcceptorHasEnded() throws Exception {
    try (RawServer server = new RawServer((request, connection) -> true);
        TestEntry entry = new TestEntry.Builder().server(server.port()).start()) {
      entry.listener().drain(0).join();
      long until = System.nanoTime() + 20_000_000_000L;
      while (!entry.listener().acceptorEnded() && System.nanoTime() < until) {
        Thread.onSpinWait();
      }

      assertThat(entry.listener().drain(0).get(5, TimeUnit.SECONDS)).isEqualTo(0);
    }
  }
}
