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
  public CompletableFuture<PeerReply> await(long id, String entry, long timeoutMillis) {
    CompletableFuture<PeerReply> future = new CompletableFuture<>();
    Runnable expire = () -> lose(id, "no answer within " + timeoutMillis + " ms");
    // The request is put in before it is sent, so its answer cannot come too early.
    pending.put(id, new Pending(entry, future, loop.schedule(timeoutMillis, expire)));
    return future;
  }

  /**
   * Ends a request by its answer. An answer that nobody awaits, or that another entry gave, is
   * dropped.
   *
   * @param answer the answer
   */
  public void answered(PeerFrame answer) {
    Pending waiting = pending.get(answer.getRequestId());
    if (waiting == null) {
      return;
    }
    boolean asked =
        LearntAddressBook.isAddressName(waiting.entry())
            || waiting.entry().equals(answer.getSender());
    if (asked) {
      end(answer.getRequestId(), new PeerReply.Answered(answer));
    } else {
      lose(answer.getRequestId(), "entry " + answer.getSender() + " answered at its address");
    }
  }

  /**
   * Ends a request that was never sent.
   *
   * @param id its number
   * @param detail why
   */
  public void notSent(long id, String detail) {
    Pending waiting = pending.get(id);
    if (waiting != null) {
      end(id, new PeerReply.NotSent(fault(waiting, detail)));
    }
  }

  /**
   * Ends a request that may have been acted on.
   *
   * @param id its number
   * @param detail why no answer will come
   */
  public void lose(long id, String detail) {
    Pending waiting = pending.get(id);
    if (waiting != null) {
      end(id, new PeerReply.NoAnswer(fault(waiting, detail)));
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

  private static Fault fault(Pending waiting, String detail) {
    return new Fault(Step.SEND_REQUEST, Peer.ENTRY_PEER, waiting.entry(), detail);
  }

  private void end(long id, PeerReply reply) {
    Pending waiting = pending.remove(id);
    if (waiting == null) {
      return;
    }
    waiting.timeout().cancel();
    loop.execute(() -> waiting.future().complete(reply));
  }
}
