package org.wagtailpin.config;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.store.Backoff;
import org.wagtailpin.store.Store;

/**
 * Accepts tickets into the shared state in the store.
 *
 * <p>A ticket is accepted whole, by one compare-and-swap at the revision that it was checked
 * against, or not at all. The shared state holds a mark of each ticket, by which an attempt whose
 * answer was lost reads back how it ended. Safe for use by threads.
 */
public final class TicketAcceptor {

  private static final long FIRST_RETRY_MILLIS = 20;
  private static final long MAX_RETRY_MILLIS = 1000;

  private final Store store;
  private final Clock clock;
  private final ControlLoop loop;
  private final UniformRandomProvider random;

  /**
   * Creates an acceptor.
   *
   * @param store holds the shared state
   * @param clock the time
   * @param loop runs the attempts
   * @param random the source of attempt marks and of jitter; used by the loop's thread only
   */
  public TicketAcceptor(Store store, Clock clock, ControlLoop loop, UniformRandomProvider random) {
    this.store = store;
    this.clock = clock;
    this.loop = loop;
    this.random = random;
  }

  /**
   * Accepts a ticket.
   *
   * <p>Conflicts with other operators and failures of the store are tried again until the time is
   * up.
   *
   * @param ticket the ticket
   * @param timeoutMillis how long to try, in milliseconds
   * @return how it ended; never completes exceptionally
   */
  public CompletableFuture<TicketResult> accept(Ticket ticket, long timeoutMillis) {
    return accept(ticket, List.of(), timeoutMillis);
  }

  /**
   * Accepts a ticket that was made from states read before, if these still hold.
   *
   * @param ticket the ticket
   * @param basis the states that it was made from
   * @param timeoutMillis how long to try, in milliseconds
   * @return how it ended; never completes exceptionally
   */
  public CompletableFuture<TicketResult> accept(
      Ticket ticket, List<VersionedObject> basis, long timeoutMillis) {
    CompletableFuture<TicketResult> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          Backoff backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, random);
          String attempt = Long.toUnsignedString(random.nextLong(), Character.MAX_RADIX);
          long deadlineMillis = clock.millis() + timeoutMillis;
          TicketAttempt running =
              new TicketAttempt(
                  ticket, basis, attempt, store, clock, loop, backoff, deadlineMillis, result);
          running.read();
        });
    return result;
  }
}
