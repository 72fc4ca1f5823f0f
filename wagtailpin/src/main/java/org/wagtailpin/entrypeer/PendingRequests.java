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
 * The requests that await an answer, by their number. Safe for use by all threads; the futures
 * complete on the control loop, each once.
 */
public final class PendingRequests {

  private record Pending(
      String entry, CompletableFuture<PeerReply> future, ScheduledTask timeout) {}

  private final ControlLoop loop;
  private final AtomicLong lastId = new AtomicLong();
  private final Map<Long, Pending> pending = new ConcurrentHashMap<>();

  /**
   * Creates an empty set.
   *
   * @param loop runs the timeouts and completes the futures
   */
  public PendingRequests(ControlLoop loop) {
    this.loop = loop;
  }

  /** Returns a number for the next request, at least 1. */
  public long nextId() {
    return lastId.incrementAndGet();
  }

  /**
   * Adds a request.
   *
   * @param id its number
   * @param entry the entry asked
   * @param timeoutMillis how long it waits, in milliseconds, at least 1
   */
  public CompletableFuture<PeerReply> add(long id, String entry, long timeoutMillis) {
    CompletableFuture<PeerReply> future = new CompletableFuture<>();
    Runnable onTimeout = () -> failUnanswered(id, "no answer within " + timeoutMillis + " ms");
    // The request is put in before it is sent, so its answer cannot come too early.
    pending.put(id, new Pending(entry, future, loop.schedule(timeoutMillis, onTimeout)));
    return future;
  }

  /**
   * Ends a request by its answer. An answer that nobody awaits, or that another entry gave, is
   * dropped.
   *
   * @param answer the answer
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
   * Ends a request that was never sent.
   *
   * @param id its number
   * @param detail why
   */
  public void failUnsent(long id, String detail) {
    Pending request = pending.get(id);
    if (request != null) {
      completeRequest(id, new PeerReply.NotSent(fault(request, detail)));
    }
  }

  /**
   * Ends a request that may have been acted on.
   *
   * @param id its number
   * @param detail why no answer will come
   */
  public void failUnanswered(long id, String detail) {
    Pending request = pending.get(id);
    if (request != null) {
      completeRequest(id, new PeerReply.NoAnswer(fault(request, detail)));
    }
  }

  /**
   * Tells whether a request still awaits its answer.
   *
   * @param id its number
   */
  public boolean contains(long id) {
    return pending.containsKey(id);
  }

  private static Fault fault(Pending request, String detail) {
    return new Fault(Step.SEND_REQUEST, Peer.ENTRY_PEER, request.entry(), detail);
  }

  private void completeRequest(long id, PeerReply reply) {
    Pending request = pending.remove(id);
    if (request == null) {
      return;
    }
    request.timeout().cancel();
    loop.execute(() -> request.future().complete(reply));
  }
}
