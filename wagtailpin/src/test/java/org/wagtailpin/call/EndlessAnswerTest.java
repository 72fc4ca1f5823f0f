package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/** Plays backend servers that send bytes without end, in every part of an answer. */
class EndlessAnswerTest {

  private static final long DEADLINE_MILLIS = 2_000;
  private static final long MARGIN_MILLIS = 8_000;
  private static final long BYTES_PER_WRITE = 8_192;

  /** The bound of 128 KiB, and what socket buffers on both sides may hold. */
  private static final long MAX_BYTES_BEFORE_ANSWER = 16_777_216;

  /** Together several times the bound of 128 KiB. */
  private static final int SHORT_ANSWERS = 500;

  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

  /** How an answer starts, and what is sent without end after that. */
  private record Flood(String start, String repeated) {}

  private static Map<String, Flood> beforeTheHeadEnds() {
    Map<String, Flood> floods = new LinkedHashMap<>();
    floods.put("status line", new Flood("HTTP/1.1 200 ", "a"));
    floods.put("one header", new Flood(OK + "X: ", "a"));
    floods.put("many headers", new Flood(OK, "X: 1\r\n"));
    floods.put("interim answers", new Flood("", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"));
    floods.put("empty lines", new Flood("", "\r\n"));
    floods.put("no HTTP", new Flood("", "\u0001"));
    return floods;
  }

  private static Map<String, Flood> afterTheHead() {
    Map<String, Flood> floods = new LinkedHashMap<>();
    floods.put("chunk size", new Flood(CHUNKED, "0"));
    floods.put("chunk extension", new Flood(CHUNKED + "1;", "a"));
    floods.put("trailers", new Flood(CHUNKED + "1\r\na\r\n0\r\n", "X: 1\r\n"));
    floods.put("chunks", new Flood(CHUNKED, "4\r\nbody\r\n"));
    floods.put("body longer than its length", new Flood(OK + "Content-Length: 3\r\n\r\n", "abc"));
    return floods;
  }

  /** A server that floods each of its connections until the other side closes it. */
  private static final class FloodingServer implements AutoCloseable {
    private final RawServer server;
    private final AtomicLong sent = new AtomicLong();
    private final CountDownLatch closed = new CountDownLatch(1);

    FloodingServer(Flood flood, long pauseMillis) throws IOException {
      long perWrite = pauseMillis > 0 ? 1 : BYTES_PER_WRITE / flood.repeated().length();
      String block = flood.repeated().repeat((int) perWrite);
      server =
          new RawServer(
              (request, to) -> {
                try {
                  to.send(flood.start());
                  while (true) {
                    to.send(block);
                    sent.addAndGet(block.length());
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMillis));
                  }
                } catch (IOException e) {
                  closed.countDown();
                  throw e;
                }
              });
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  /**
   * Returns the status of the answer to one call, 0 if the connection ended without a whole one.
   */
  private static int statusOfCall(TestEntry entry) {
    try {
      return entry.call("POST", "", "order").status();
    } catch (IOException e) {
      return 0;
    }
  }

  private static void assertBounded(String part, Flood flood, long pauseMillis) throws Exception {
    long start = System.nanoTime();
    try (FloodingServer server = new FloodingServer(flood, pauseMillis);
        TestEntry entry =
            new TestEntry.Builder()
                .server(server.server.port())
                .deadlineMillis(DEADLINE_MILLIS)
                .start()) {
      int status = statusOfCall(entry);

      long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
      assertWithMessage(part).that(status).isAnyOf(0, 502, 504);
      assertWithMessage(part).that(tookMillis).isLessThan(DEADLINE_MILLIS + MARGIN_MILLIS);
      assertWithMessage(part)
          .that(server.closed.await(MARGIN_MILLIS, TimeUnit.MILLISECONDS))
          .isTrue();
      Polling.until(() -> entry.backend().openConnections() == 0);
      assertWithMessage(part).that(server.sent.get()).isLessThan(MAX_BYTES_BEFORE_ANSWER);
    }
  }

  @Test
  void bytesWithoutEndBeforeAnAnswerEndItsConnectionWithABoundedNumberOfBytes() throws Exception {
    for (Map.Entry<String, Flood> flood : beforeTheHeadEnds().entrySet()) {
      assertBounded(flood.getKey(), flood.getValue(), 0);
    }
  }

  @Test
  void slowBytesBeforeAnAnswerEndWithTheDeadline() throws Exception {
    for (Map.Entry<String, Flood> flood : beforeTheHeadEnds().entrySet()) {
      assertBounded(flood.getKey(), flood.getValue(), 50);
    }
  }

  @Test
  void anAnswerWhoseFramingNeverEndsIsNotComplete() throws Exception {
    for (String part : new String[] {"chunk size", "chunk extension", "trailers"}) {
      assertBounded(part, afterTheHead().get(part), 0);
    }
  }

  @Test
  void aSurplusAnswerWithoutEndClosesTheConnectionAndTheCallIsWhole() throws Exception {
    Flood flood = afterTheHead().get("body longer than its length");
    try (FloodingServer server = new FloodingServer(flood, 0);
        TestEntry entry = new TestEntry.Builder().server(server.server.port()).start()) {
      RawHttpMessage answer = entry.call("POST", "", "order");

      assertThat(answer.text()).isEqualTo("abc");
      assertThat(server.closed.await(MARGIN_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
      assertThat(server.sent.get()).isLessThan(MAX_BYTES_BEFORE_ANSWER);
    }
  }

  @Test
  void aBodyWithoutEndIsCutAtTheMaximumLengthAndNotCompleted() throws Exception {
    try (FloodingServer server = new FloodingServer(afterTheHead().get("chunks"), 0);
        TestEntry entry =
            new TestEntry.Builder()
                .server(server.server.port())
                .maxAnswerBytes(1_000_000)
                .start()) {
      assertThat(statusOfCall(entry)).isEqualTo(0);
      assertThat(server.closed.await(MARGIN_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }
  }

  @Test
  void copiesOfAnEarlierAnswerWithoutEndDoNotReachTheNextCaller() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    AtomicLong sent = new AtomicLong();
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  String answer =
                      "HTTP/1.1 200 OK\r\nWagtailpin-Attempt: %s\r\nContent-Length: 5\r\n\r\nfirst"
                          .formatted(request.header("wagtailpin-attempt"));
                  if (request.text().equals("one")) {
                    to.send(answer);
                    return true;
                  }
                  String copy = answer.replaceAll("Attempt: [^\r]*", "Attempt: earlier.1");
                  try {
                    while (true) {
                      to.send(copy);
                      sent.addAndGet(copy.length());
                    }
                  } catch (IOException e) {
                    closed.countDown();
                    throw e;
                  }
                });
        TestEntry entry =
            new TestEntry.Builder()
                .server(server.port())
                .echoes()
                .deadlineMillis(DEADLINE_MILLIS)
                .start();
        RawCaller caller = entry.caller()) {
      assertThat(caller.call("POST", "/x", "", "one").text()).isEqualTo("first");
      RawHttpMessage answer = caller.call("POST", "/x", "", "two");

      assertThat(answer.status()).isAnyOf(502, 504);
      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("unknown");
      assertThat(closed.await(MARGIN_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
      assertThat(sent.get()).isLessThan(MAX_BYTES_BEFORE_ANSWER);
    }
  }

  @Test
  void aLateCopyOfAnEarlierAnswerIsSkippedAndTheCallersOwnAnswerFollows() throws Exception {
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  String head = "HTTP/1.1 200 OK\r\nWagtailpin-Attempt: ";
                  if (request.text().equals("two")) {
                    // Split, so that the copy arrives in parts between the request and its answer.
                    to.send(head + "earlier.1\r\nContent-Le");
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
                    to.send("ngth: 3\r\n\r\nBA");
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
                    to.send("D");
                  }
                  return to.answer(request, "", request.text());
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).echoes().start();
        RawCaller caller = entry.caller()) {
      assertThat(caller.call("POST", "/x", "", "one").text()).isEqualTo("one");
      assertThat(caller.call("POST", "/x", "", "two").text()).isEqualTo("two");
      assertThat(caller.call("POST", "/x", "", "three").text()).isEqualTo("three");

      // The connection with the surplus answer is not used again.
      assertThat(server.connections()).isEqualTo(2);
    }
  }

  @Test
  void aLateCopyWithoutAnIdentifierIsNotTakenForAnAnswer() throws Exception {
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  if (request.text().equals("two")) {
                    to.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nBAD");
                  }
                  return to.answer(request, "", request.text());
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).echoes().start();
        RawCaller caller = entry.caller()) {
      assertThat(caller.call("POST", "/x", "", "one").text()).isEqualTo("one");
      RawHttpMessage answer = caller.call("POST", "/x", "", "two");

      assertThat(answer.status()).isEqualTo(502);
      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("unknown");
      assertThat(caller.call("POST", "/x", "", "three").text()).isEqualTo("three");
    }
  }

  // Guards against sound answers that became a 502: the bytes of short answers were added up over
  // all
  // requests of a kept connection, until their sum passed the bound of one head.
  @Test
  void shortAnswersOnAKeptConnectionAreNotAddedUp() throws Exception {
    String body = "a".repeat(1_000);
    try (RawServer server = new RawServer((request, to) -> to.answer(request, "", body));
        TestEntry entry = new TestEntry.Builder().server(server.port()).echoes().start();
        RawCaller caller = entry.caller()) {
      for (int i = 0; i < SHORT_ANSWERS; i++) {
        assertWithMessage("call %s", i)
            .that(caller.call("POST", "/x", "", "order").status())
            .isEqualTo(200);
      }
      assertThat(server.connections()).isEqualTo(1);
    }
  }
}
