package org.wagtailpin.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.wagtailpin.clock.Clock;

/**
 * Requests units for the calls of this entry from the holder of its domain's share, or from others
 * if it does not answer. One request for each budget is in flight at a time. Confined to the
 * control loop.
 */
final class EntryUnits {

  /** How long a unit is valid from the time at which the entry sent the request. */
  static final double VALID_MILLIS = 250;

  /** Leaves time for the loans that a holder may need, and for another holder within a unit. */
  private static final long ASK_TIMEOUT_MILLIS = 120;

  /** Leaves time for the path to another region as well; nearly as long as a unit is valid. */
  private static final long FAR_ASK_TIMEOUT_MILLIS = 200;

  private static final double SILENCE_MILLIS = 500;
  private static final int MAX_HOLDERS_ASKED = 3;

  /**
   * The fraction of the units expected to be needed while a unit is valid that is requested ahead;
   * small, since what is not used is lost.
   */
  private static final double AHEAD_SHARE = 0.2;

  private static final int MAX_BUDGETS = 20_000;

  private record Waiting(int units, Consumer<BudgetAnswer> listener) {}

  private record Batch(int units, double usableUntilMillis) {}

  private static final class Account {
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final Deque<Batch> batches = new ArrayDeque<>();
    private final DecayingRate demand = new DecayingRate();
    private boolean asking;
  }

  private final String self;
  private final BudgetPeers peers;
  private final ShareHolder own;
  private final BudgetLink link;
  private final Clock clock;
  private final BudgetMetrics metrics;
  private final double validMillis;
  private final Map<BudgetKey, Account> accounts = new HashMap<>();
  private final SilentEntries silent = new SilentEntries();

  EntryUnits(
      String self,
      BudgetPeers peers,
      ShareHolder own,
      BudgetLink link,
      Clock clock,
      BudgetMetrics metrics,
      double validMillis) {
    this.self = self;
    this.peers = peers;
    this.own = own;
    this.link = link;
    this.clock = clock;
    this.metrics = metrics;
    this.validMillis = validMillis;
  }

  void request(BudgetKey budget, int units, Consumer<BudgetAnswer> listener) {
    if (accounts.size() >= MAX_BUDGETS) {
      accounts.values().removeIf(account -> account.waiting.isEmpty() && !account.asking);
    }
    Account account = accounts.computeIfAbsent(budget, key -> new Account());
    account.demand.add(units, clock.exactMillis());
    account.waiting.add(new Waiting(units, listener));
    serve(budget, account);
    if (!account.waiting.isEmpty() && !account.asking) {
      account.asking = true;
      ask(budget, account, targets());
    }
  }

  /** Answers the calls for which there are units, in order. */
  private void serve(BudgetKey budget, Account account) {
    double now = clock.exactMillis();
    while (!account.batches.isEmpty() && account.batches.peek().usableUntilMillis() < now) {
      metrics.expired(budget.kind(), account.batches.remove().units());
    }
    while (!account.waiting.isEmpty() && available(account) >= account.waiting.peek().units()) {
      Waiting next = account.waiting.remove();
      double usableUntilMillis = take(account, next.units());
      metrics.granted(budget.kind(), next.units());
      next.listener().accept(new BudgetAnswer.Granted(usableUntilMillis));
    }
  }

  private static int available(Account account) {
    int units = 0;
    for (Batch batch : account.batches) {
      units += batch.units();
    }
    return units;
  }

  /** Takes units, the oldest first; returns until when all of them may be used. */
  private static double take(Account account, int units) {
    double usableUntilMillis = Double.POSITIVE_INFINITY;
    int missing = units;
    while (missing > 0) {
      Batch batch = account.batches.remove();
      usableUntilMillis = Math.min(usableUntilMillis, batch.usableUntilMillis());
      int taken = Math.min(missing, batch.units());
      missing -= taken;
      if (batch.units() > taken) {
        account.batches.addFirst(new Batch(batch.units() - taken, batch.usableUntilMillis()));
      }
    }
    return usableUntilMillis;
  }

  /** Returns the holders to ask in order: that of the own domain, then some of the others. */
  private Deque<String> targets() {
    double now = clock.exactMillis();
    List<String> known = new ArrayList<>();
    List<BudgetPeers.Holder> others = peers.otherHolders();
    // The entries of a domain without a holder spread over the others.
    int first = others.isEmpty() ? 0 : Math.floorMod(self.hashCode(), others.size());
    peers.holder().ifPresent(known::add);
    for (int i = 0; i < others.size(); i++) {
      known.add(others.get((first + i) % others.size()).entry());
    }
    Deque<String> targets = new ArrayDeque<>();
    known.stream()
        .filter(entry -> !silent.contains(entry, now))
        .limit(MAX_HOLDERS_ASKED)
        .forEach(targets::add);
    if (targets.isEmpty()) {
      known.stream().limit(1).forEach(targets::add);
    }
    return targets;
  }

  private void ask(BudgetKey budget, Account account, Deque<String> targets) {
    if (targets.isEmpty()) {
      account.asking = false;
      answerAll(account, new BudgetAnswer.Unavailable());
      return;
    }
    String target = targets.remove();
    double sentMillis = clock.exactMillis();
    int ahead = (int) (account.demand.perMilli(sentMillis) * VALID_MILLIS * AHEAD_SHARE);
    int units = ahead;
    for (Waiting waiting : account.waiting) {
      units += waiting.units();
    }
    BudgetRequest request = new BudgetRequest(budget, units, false);
    Consumer<Optional<BudgetReply>> listener =
        reply -> answered(budget, account, target, targets, sentMillis, reply);
    if (target.equals(self)) {
      own.request(request, reply -> listener.accept(Optional.of(reply)));
    } else {
      boolean near = peers.holder().equals(Optional.of(target));
      link.send(target, request, near ? ASK_TIMEOUT_MILLIS : FAR_ASK_TIMEOUT_MILLIS, listener);
    }
  }

  private void answered(
      BudgetKey budget,
      Account account,
      String target,
      Deque<String> targets,
      double sentMillis,
      Optional<BudgetReply> reply) {
    double now = clock.exactMillis();
    double usableUntilMillis = sentMillis + validMillis;
    if (reply.isEmpty() || reply.get().verdict() == BudgetReply.Verdict.NOT_HOLDER) {
      silent.add(target, now + SILENCE_MILLIS);
      ask(budget, account, targets);
    } else if (reply.get().verdict() == BudgetReply.Verdict.DENIED) {
      account.asking = false;
      account.waiting.forEach(waiting -> metrics.denied(budget.kind(), waiting.units()));
      answerAll(account, new BudgetAnswer.Denied(reply.get().retryAfterMillis()));
    } else if (now > usableUntilMillis) {
      metrics.expired(budget.kind(), reply.get().units());
      ask(budget, account, targets);
    } else {
      int units = (int) reply.get().units();
      if (units > 0) {
        account.batches.add(new Batch(units, usableUntilMillis));
      }
      serve(budget, account);
      account.asking = !account.waiting.isEmpty();
      if (account.asking) {
        ask(budget, account, targets());
      }
    }
  }

  private static void answerAll(Account account, BudgetAnswer answer) {
    List<Waiting> all = new ArrayList<>(account.waiting);
    account.waiting.clear();
    all.forEach(waiting -> waiting.listener().accept(answer));
  }
}
