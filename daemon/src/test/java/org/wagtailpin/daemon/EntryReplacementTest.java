package org.wagtailpin.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/**
 * Replaces entries one after another under load. Guards against calls that fail or run twice
 * because an entry stops accepting or aborts calls while new ones still arrive.
 */
class EntryReplacementTest {

  private static final int CALLERS = 8;
  private static final int RESTARTS = 3;
  private static final int MIN_CALLS_BETWEEN_RESTARTS = 200;

  private final AtomicReference<EntryNode> servingEntry = new AtomicReference<>();
  private final AtomicBoolean stop = new AtomicBoolean();
  private final AtomicLong successfulCalls = new AtomicLong();
  private final Queue<String> failures = new ConcurrentLinkedQueue<>();

  @Test
  void noCallFailsWhileEntriesAreReplacedOneAfterAnother() throws Exception {
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    try (Fleet fleet = new Fleet()) {
      fleet.addServer(6, 5);
      fleet.addServer(6, 5);
      servingEntry.set(fleet.addEntry());
      fleet.acceptService(1);
      Fleet.awaitTrue("entry ready", () -> servingEntry.get().ready());
      List<Future<?>> running = new ArrayList<>();
      for (int caller = 0; caller < CALLERS; caller++) {
        int number = caller;
        running.add(callers.submit(() -> sendCalls(number)));
      }

      for (int restart = 0; restart < RESTARTS; restart++) {
        replace(fleet);
      }
      stop.set(true);
      for (Future<?> caller : running) {
        caller.get();
      }

      assertThat(failures).isEmpty();
      assertThat(successfulCalls.get()).isAtLeast((long) RESTARTS * MIN_CALLS_BETWEEN_RESTARTS);
      assertThat(fleet.executionCounter().countRepeated()).isEqualTo(0);
    } finally {
      callers.shutdownNow();
    }
  }

  private void replace(Fleet fleet) throws Exception {
    long before = successfulCalls.get();
    Fleet.awaitTrue(
        "calls answered", () -> successfulCalls.get() >= before + MIN_CALLS_BETWEEN_RESTARTS);
    EntryNode leaving = servingEntry.get();
    EntryNode next = fleet.addEntry();
    Fleet.awaitTrue("replacement ready", next::ready);
    var left = leaving.leave();
    // The balancer in front of the entries sends new calls elsewhere once this one is not ready.
    servingEntry.set(next);
    assertThat(left.join()).isEqualTo(0);
  }

  private void sendCalls(int caller) {
    HttpClient http = HttpClient.newHttpClient();
    for (long number = 0; !stop.get(); number++) {
      String work = "order-" + caller + "-" + number;
      URI uri =
          URI.create(
              "http://127.0.0.1:" + servingEntry.get().callerAddress().getPort() + "/orders");
      HttpRequest request =
          HttpRequest.newBuilder(uri)
              .header("X-Work-Id", work)
              .POST(HttpRequest.BodyPublishers.ofString("x"))
              .build();
      sendAndCount(http, request, work);
    }
  }

  private void sendAndCount(HttpClient http, HttpRequest request, String work) {
    try {
      HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
      boolean expectedAnswer =
          answer.statusCode() == 200 && answer.body().contains("\"" + work + "\"");
      if (expectedAnswer) {
        successfulCalls.incrementAndGet();
      } else {
        failures.add(work + ": " + answer.statusCode() + " " + answer.body());
      }
    } catch (IOException e) {
      failures.add(work + ": " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      stop.set(true);
    }
  }
}
