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
 * <p>A ticket is applied atomically, by one compare-and-swap on the revision that it was checked
 * against. The shared state contains a mark of each accepted ticket, by which an attempt whose
 * answer was lost determines its outcome. Thread-safe.
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
   * @param store the store that holds the shared state
   * @param clock measures the timeout of attempts
   * @param loop runs the attempts
   * @param random source of attempt identifiers and backoff jitter; used on the loop's thread only
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
   * <p>Conflicts with other operators and failures of the store are retried until the timeout.
   *
   * @param ticket the ticket to check and apply
   * @param timeoutMillis how long to retry, in milliseconds
   * @return the result; never completes exceptionally
   */
  public CompletableFuture<TicketResult> accept(Ticket ticket, long timeoutMillis) {
    return accept(ticket, List.of(), timeoutMillis);
  }

  /**
   * Accepts a ticket on the condition that the states it is based on are unchanged.
   *
   * @param ticket the ticket to check and apply
   * @param basis the states that the ticket is based on, compared by ticket number
   * @param timeoutMillis how long to retry, in milliseconds
   * @return the result; never completes exceptionally
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
