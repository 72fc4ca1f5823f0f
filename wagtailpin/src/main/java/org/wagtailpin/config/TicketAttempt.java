package org.wagtailpin.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.store.Backoff;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.WriteResult;

/**
 * One attempt to accept a ticket: an optimistic read, check and compare-and-swap loop that is
 * retried until the deadline.
 *
 * <p>A write with an unknown outcome can still take effect while the key is at the revision that
 * the write was conditioned on. The outcome is resolved once the ticket's mark is read back, or
 * once a later revision without the mark is read. Until then the only result reported is {@link
 * TicketResult.Unknown}. Runs on the control thread only.
 */
final class TicketAttempt {

  private final Ticket ticket;
  private final List<VersionedObject> basis;
  private final ContentHash content;
  private final String attempt;
  private final Store store;
  private final Clock clock;
  private final ControlLoop loop;
  private final Backoff backoff;
  private final long deadlineMillis;
  private final CompletableFuture<TicketResult> result;
  private final ConfigStateCodec codec = new ConfigStateCodec();
  private final TicketChecker checker = new TicketChecker();

  // Highest revision that a write with an unresolved outcome was conditioned on, or empty.
  private Optional<Long> unresolvedRevision = Optional.empty();
  private boolean hadUnknownWrite;
  private Fault lastFault = new Fault(Step.ACCEPT_TICKET, Peer.STORE, "", "not tried");

  TicketAttempt(
      Ticket ticket,
      List<VersionedObject> basis,
      String attempt,
      Store store,
      Clock clock,
      ControlLoop loop,
      Backoff backoff,
      long deadlineMillis,
      CompletableFuture<TicketResult> result) {
    this.ticket = ticket;
    this.basis = basis;
    this.content = ticket.contentHash();
    this.attempt = attempt;
    this.store = store;
    this.clock = clock;
    this.loop = loop;
    this.backoff = backoff;
    this.deadlineMillis = deadlineMillis;
    this.result = result;
  }

  void read() {
    onLoop(store.read(ConfigKeys.STATE), this::afterRead);
  }

  private <R> void onLoop(CompletableFuture<R> answer, Consumer<R> next) {
    CompletableFuture<Void> unused =
        answer.thenAccept(value -> loop.execute(() -> next.accept(value)));
  }

  private void afterRead(ReadResult read) {
    if (read instanceof ReadResult.Failed failed) {
      retryOrFinish(failed.fault());
    } else if (read instanceof ReadResult.Found found) {
      ConfigStateReadResult decoded = codec.read(found.entry().value());
      if (decoded instanceof ConfigStateReadResult.Read readable) {
        decide(readable.state(), found.entry().revision());
      } else if (decoded instanceof ConfigStateReadResult.Unreadable unreadable) {
        finish(fault("the value of " + ConfigKeys.STATE + " is no state: " + unreadable.detail()));
      }
    } else {
      decide(ConfigState.empty(), 0);
    }
  }

  private void decide(ConfigState state, long revision) {
    Optional<TicketMark> mark = state.mark(ticket.number());
    if (mark.isPresent() && mark.get().content().equals(content)) {
      boolean ours = mark.get().attempt().equals(attempt);
      List<VersionedObject> kept = state.newerStates(ticket);
      result.complete(
          ours
              ? new TicketResult.Accepted(ticket.number(), kept)
              : new TicketResult.AcceptedBefore(ticket.number(), kept));
      return;
    }
    resolveUnknownWrite(revision);
    if (mark.isPresent()) {
      refuseOrRetry(new TicketResult.NumberTaken(ticket.number(), content, mark.get().content()));
    } else if (ticket.number() <= state.merged().floor()) {
      refuseClosed(state.merged().floor());
    } else {
      checkAndWrite(state, revision);
    }
  }

  // A write conditioned on a revision below the current one can no longer take effect.
  private void resolveUnknownWrite(long revision) {
    if (unresolvedRevision.isPresent() && unresolvedRevision.get() < revision) {
      unresolvedRevision = Optional.empty();
    }
  }

  // A write with an unknown outcome may have succeeded, and its mark may since have been dropped
  // because its number was closed.
  private void refuseClosed(long floor) {
    if (hadUnknownWrite) {
      result.complete(
          new TicketResult.Unknown(ticket.number(), fault("the number was closed meanwhile")));
    } else {
      refuseOrRetry(new TicketResult.NumberClosed(ticket.number(), floor));
    }
  }

  private void refuseOrRetry(TicketResult refusal) {
    if (unresolvedRevision.isEmpty()) {
      result.complete(refusal);
    } else {
      retryOrFinish(lastFault);
    }
  }

  private void checkAndWrite(ConfigState state, long revision) {
    Optional<VersionedObject> changed = changedBasis(state.merged());
    if (changed.isPresent()) {
      refuseOrRetry(new TicketResult.BasisChanged(ticket.number(), changed.get()));
      return;
    }
    List<TicketProblem> problems = checker.check(ticket, state.merged());
    if (!problems.isEmpty()) {
      refuseOrRetry(new TicketResult.Refused(ticket.number(), problems));
      return;
    }
    state.apply(ticket, attempt);
    byte[] value = codec.write(state);
    if (value.length > ConfigKeys.MAX_VALUE_BYTES) {
      refuseOrRetry(
          new TicketResult.TooLarge(ticket.number(), value.length, ConfigKeys.MAX_VALUE_BYTES));
      return;
    }
    WriteCondition condition =
        revision == 0 ? new WriteCondition.Absent() : new WriteCondition.AtRevision(revision);
    onLoop(
        store.write(ConfigKeys.STATE, value, condition, Optional.empty()),
        written -> afterWrite(written, state, revision));
  }

  private Optional<VersionedObject> changedBasis(MergedConfig merged) {
    return basis.stream()
        .filter(
            state ->
                merged.object(state.id()).map(VersionedObject::ticket).orElse(0L) != state.ticket())
        .findFirst();
  }

  private void afterWrite(WriteResult written, ConfigState state, long revision) {
    if (written instanceof WriteResult.Written) {
      result.complete(new TicketResult.Accepted(ticket.number(), state.newerStates(ticket)));
    } else if (written instanceof WriteResult.Conflict conflict) {
      retryOrFinish(fault("the state changed to revision " + conflict.currentRevision()));
    } else if (written instanceof WriteResult.NotWritten notWritten) {
      retryOrFinish(notWritten.fault());
    } else if (written instanceof WriteResult.Unknown unknown) {
      hadUnknownWrite = true;
      unresolvedRevision = Optional.of(Math.max(revision, unresolvedRevision.orElse(0L)));
      retryOrFinish(unknown.fault());
    }
  }

  private void retryOrFinish(Fault fault) {
    lastFault = fault;
    long delayMillis = backoff.nextMillis();
    if (clock.millis() + delayMillis > deadlineMillis) {
      finish(fault);
    } else {
      loop.schedule(delayMillis, this::read);
    }
  }

  private void finish(Fault fault) {
    result.complete(
        unresolvedRevision.isPresent()
            ? new TicketResult.Unknown(ticket.number(), fault)
            : new TicketResult.NotAccepted(ticket.number(), fault));
  }

  private static Fault fault(String detail) {
    return new Fault(Step.ACCEPT_TICKET, Peer.STORE, "", detail);
  }
}
