package org.wagtailpin.entrypeer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.control.ScheduledTask;
import org.wagtailpin.entrypeer.generated.PeerFrame;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;

/**
 * The requests that await an answer, by request ID. Thread-safe; each future completes once, on the
 * control loop.
 */
public final class PendingRequests {

  private record Pending(String entry, CompletableFuture<PeerReply> future) {}

  private final ControlLoop loop;
  private final AtomicLong lastId = new AtomicLong();
  private final Map<Long, Pending> pending = new ConcurrentHashMap<>();

  /**
   * Creates a set without requests.
   *
   * @param loop runs the timeouts and completes the futures
   */
  public PendingRequests(ControlLoop loop) {
    this.loop = loop;
  }

  /** Returns an unused request ID, at least 1. */
  public long nextId() {
    return lastId.incrementAndGet();
  }

  /**
   * Adds a request and starts its timeout.
   *
   * @param id the request ID
   * @param entry the identifier or address name of the receiving entry
   * @param timeoutMillis how long to wait for the answer, in milliseconds, at least 1
   * @return a future of the result
   */
  public CompletableFuture<PeerReply> add(long id, String entry, long timeoutMillis) {
    CompletableFuture<PeerReply> future = new CompletableFuture<>();
    Runnable onTimeout = () -> failUnanswered(id, "no answer within " + timeoutMillis + " ms");
    // Requests are added before they are sent and timed, so an answer or a timeout finds them.
    pending.put(id, new Pending(entry, future));
    ScheduledTask timeout = loop.schedule(timeoutMillis, onTimeout);
    var unused = future.thenRun(timeout::cancel);
    return future;
  }

  /**
   * Completes the request to which an answer belongs. An answer without a pending request is
   * ignored; one from an entry other than the requested one fails the request.
   *
   * @param answer the received frame
   */
  public void onAnswer(PeerFrame answer) {
    Pending request = pending.get(answer.getRequestId());
    if (request == null) {
      return;
    }
    boolean fromRequestedEntry =
        MutableAddressBook.isAddressName(request.entry())
            || request.entry().equals(answer.getSender());
    if (fromRequestedEntry) {
      completeRequest(answer.getRequestId(), new PeerReply.Answered(answer));
    } else {
      failUnanswered(
          answer.getRequestId(), "entry " + answer.getSender() + " answered at its address");
    }
  }

  /**
   * Fails a request that was not sent; does nothing if it is no longer pending.
   *
   * @param id the request ID
   * @param detail the reason
   */
  public void failUnsent(long id, String detail) {
    Pending request = pending.get(id);
    if (request != null) {
      completeRequest(id, new PeerReply.NotSent(fault(request, detail)));
    }
  }

  /**
   * Fails a request that the other entry may have processed; does nothing if it is no longer
   * pending.
   *
   * @param id the request ID
   * @param detail the reason why there is no answer
   */
  public void failUnanswered(long id, String detail) {
    Pending request = pending.get(id);
    if (request != null) {
      completeRequest(id, new PeerReply.NoAnswer(fault(request, detail)));
    }
  }

  /**
   * Returns whether a request still awaits its answer.
   *
   * @param id the request ID
   */
  public boolean contains(long id) {
    return pending.containsKey(id);
  }

  private static Fault fault(Pending request, String detail) {
    return new Fault(Step.SEND_REQUEST, Peer.ENTRY_PEER, request.entry(), detail);
  }

  private void completeRequest(long id, PeerReply reply) {
    Pending request = pending.remove(id);
    if (request != null) {
      loop.execute(() -> request.future().complete(reply));
    }
  }
}
