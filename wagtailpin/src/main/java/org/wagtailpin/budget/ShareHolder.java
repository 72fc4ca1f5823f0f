package org.wagtailpin.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.wagtailpin.clock.Clock;

/**
 * Grants units of its domain's shares to entries, and lends to and borrows from the holders of
 * other domains. Confined to the control loop.
 */
final class ShareHolder {

  /** How long the answer of another holder is awaited; a few round trips between regions. */
  private static final long LOAN_TIMEOUT_MILLIS = 50;

  /** A later loan is void, so that units on their way are few. */
  private static final double LOAN_VALID_MILLIS = 250;

  /** After how long an entry is told to ask again; below its timeout. */
  private static final double MAX_ASK_MILLIS = 100;

  /** For how long a holder that did not answer is asked for no loan of any budget. */
  private static final double SILENCE_MILLIS = 1_000;

  private static final long MAX_RETRY_AFTER_MILLIS = 2_000;
  private static final int MAX_BUDGETS = 20_000;

  /** An entry's request that waits for loans. */
  private record Ask(int units, double atMillis, Consumer<BudgetReply> listener) {}

  /** What is known of one budget. */
  private static final class Account {
    private final Deque<Ask> asks = new ArrayDeque<>();
    private final LenderEstimates lenders = new LenderEstimates();
    private final DecayingRate demand = new DecayingRate();
    private boolean borrowing;
    private int deniedInARow;
  }

  private final BudgetLimits limits;
  private final DomainShares shares;
  private final BudgetPeers peers;
  private final BudgetLink link;
  private final Clock clock;
  private final BudgetMetrics metrics;
  private final ExhaustionLog exhaustion;
  private final Map<BudgetKey, Account> accounts = new HashMap<>();
  private final SilentEntries silent = new SilentEntries();

  ShareHolder(
      BudgetSettings settings,
      BudgetLimits limits,
      BudgetPeers peers,
      BudgetLink link,
      Clock clock,
      BudgetMetrics metrics,
      ExhaustionLog exhaustion) {
    this.limits = limits;
    this.shares = new DomainShares(settings, peers, clock);
    this.peers = peers;
    this.link = link;
    this.clock = clock;
    this.metrics = metrics;
    this.exhaustion = exhaustion;
  }

  /** Advances the time; to be called each {@link CreditClock#TICK_MILLIS}. */
  void tick() {
    shares.advance();
    exhaustion.update(clock.exactMillis());
  }

  /**
   * Answers a request of an entry or of another holder.
   *
   * @param request the request
   * @param listener called once on the control loop, possibly before this method returns
   */
  void request(BudgetRequest request, Consumer<BudgetReply> listener) {
    Optional<BudgetLimit> limit = limits.of(request.budget());
    if (!peers.holding() || limit.isEmpty()) {
      listener.accept(BudgetReply.notHolder());
    } else if (limit.get().unlimited()) {
      listener.accept(BudgetReply.granted(request.units(), request.units()));
    } else if (request.loan()) {
      listener.accept(lend(request, limit.get()));
    } else {
      ask(request, limit.get(), listener);
    }
  }

  private BudgetReply lend(BudgetRequest request, BudgetLimit limit) {
    ShareBucket bucket = shares.bucket(request.budget(), limit);
    Account account = account(request.budget());
    if (!account.asks.isEmpty()) {
      return BudgetReply.denied(1, 0);
    }
    double kept = account.demand.perMilli(clock.exactMillis()) * LOAN_VALID_MILLIS;
    double lent = bucket.take(Math.min(request.units(), Math.max(0, bucket.level() - kept)));
    double spare = Math.max(0, bucket.level() - kept);
    return lent > 0 ? BudgetReply.granted(lent, spare) : BudgetReply.denied(1, spare);
  }

  private void ask(BudgetRequest request, BudgetLimit limit, Consumer<BudgetReply> listener) {
    Account account = account(request.budget());
    double now = clock.exactMillis();
    int units = (int) Math.max(1, request.units());
    account.demand.add(units, now);
    account.asks.add(new Ask(units, now, listener));
    serve(request.budget(), limit, account);
    if (!account.asks.isEmpty() && !account.borrowing) {
      borrow(request.budget(), account);
    }
  }

  private Account account(BudgetKey budget) {
    if (accounts.size() >= MAX_BUDGETS) {
      accounts.values().removeIf(account -> account.asks.isEmpty() && !account.borrowing);
    }
    return accounts.computeIfAbsent(budget, key -> new Account());
  }

  /** Answers the asks for which there are units, in order. */
  private void serve(BudgetKey budget, BudgetLimit limit, Account account) {
    ShareBucket bucket = shares.bucket(budget, limit);
    while (!account.asks.isEmpty()) {
      int granted = bucket.takeWhole(account.asks.peek().units());
      if (granted == 0) {
        return;
      }
      account.deniedInARow = 0;
      account.asks.remove().listener().accept(BudgetReply.granted(granted, bucket.level()));
    }
  }

  private void borrow(BudgetKey budget, Account account) {
    Optional<BudgetLimit> limit = limits.of(budget);
    if (limit.isEmpty()) {
      deny(budget, account, 1, 0);
      return;
    }
    double now = clock.exactMillis();
    double perMilli = shares.settings().domainPerMilli(limit.get());
    double capacity = shares.settings().domainCapacity(limit.get());
    List<BudgetPeers.Holder> lenders =
        account.lenders.byUnits(answeringHolders(now), perMilli, capacity, now);
    double total = shares.bucket(budget, limit.get()).level();
    for (BudgetPeers.Holder lender : lenders) {
      total += account.lenders.units(lender, perMilli, capacity, now);
    }
    if (total < 1) {
      deny(budget, account, 1 - total, perMilli * shares.settings().domains());
      return;
    }
    account.borrowing = true;
    borrowFrom(budget, account, lenders.iterator());
  }

  private List<BudgetPeers.Holder> answeringHolders(double now) {
    List<BudgetPeers.Holder> holders = new ArrayList<>(peers.otherHolders());
    holders.removeIf(holder -> silent.contains(holder.entry(), now));
    return holders;
  }

  /** Asks the lenders one after another until no ask waits. */
  private void borrowFrom(BudgetKey budget, Account account, Iterator<BudgetPeers.Holder> lenders) {
    Optional<BudgetLimit> limit = limits.of(budget);
    if (account.asks.isEmpty() || limit.isEmpty() || !lenders.hasNext()) {
      account.borrowing = false;
      double perMilli = limit.map(shares.settings()::domainPerMilli).orElse(0.0);
      if (!account.asks.isEmpty()) {
        deny(budget, account, 1, perMilli * shares.settings().domains());
      }
      return;
    }
    BudgetPeers.Holder lender = lenders.next();
    double sentMillis = clock.exactMillis();
    if (silent.contains(lender.entry(), sentMillis)) {
      // Another budget's request has shown it meanwhile.
      borrowFrom(budget, account, lenders);
      return;
    }
    double expected = account.demand.perMilli(sentMillis) * LOAN_VALID_MILLIS;
    double level = shares.bucket(budget, limit.get()).level();
    double units = Math.max(waiting(account) - level, expected - level);
    link.send(
        lender.entry(),
        new BudgetRequest(budget, Math.max(0, units), true),
        LOAN_TIMEOUT_MILLIS,
        reply -> loanAnswered(budget, account, lender, lenders, sentMillis, reply));
  }

  private static int waiting(Account account) {
    int units = 0;
    for (Ask ask : account.asks) {
      units += ask.units();
    }
    return units;
  }

  private void loanAnswered(
      BudgetKey budget,
      Account account,
      BudgetPeers.Holder lender,
      Iterator<BudgetPeers.Holder> lenders,
      double sentMillis,
      Optional<BudgetReply> reply) {
    double now = clock.exactMillis();
    boolean late = now - sentMillis > LOAN_VALID_MILLIS;
    if (reply.isEmpty() || late) {
      silent.add(lender.entry(), now + SILENCE_MILLIS);
    } else if (reply.get().verdict() == BudgetReply.Verdict.NOT_HOLDER) {
      account.lenders.silent(lender, now);
    } else {
      account.lenders.stated(lender, reply.get().spare(), now);
      limits.of(budget).ifPresent(limit -> addLoan(budget, limit, account, reply.get().units()));
    }
    returnOld(account, now);
    borrowFrom(budget, account, lenders);
  }

  private void addLoan(BudgetKey budget, BudgetLimit limit, Account account, double units) {
    if (units > 0 && peers.holding() && !limit.unlimited()) {
      metrics.borrowed(budget.kind(), units);
      shares.bucket(budget, limit).add(units);
      // What the waiting asks leave is limited to the capacity by the next access.
      serve(budget, limit, account);
    }
  }

  /** Has entries ask again before they take this one for silent: units may still be found. */
  private static void returnOld(Account account, double now) {
    while (!account.asks.isEmpty() && now - account.asks.peek().atMillis() > MAX_ASK_MILLIS) {
      account.asks.remove().listener().accept(BudgetReply.granted(0, 0));
    }
  }

  private void deny(BudgetKey budget, Account account, double missing, double perMilli) {
    List<Ask> asks = new ArrayList<>(account.asks);
    account.asks.clear();
    asks.forEach(ask -> denied(budget, account, ask, missing, perMilli));
  }

  /**
   * Denies an ask. Those denied one after another are told to return one after another, at the pace
   * at which units accrue.
   */
  private void denied(BudgetKey budget, Account account, Ask ask, double missing, double perMilli) {
    if (!shares.followedByMost()) {
      // The quota may be exhausted here alone, as in a host that is cut off.
      ask.listener().accept(BudgetReply.notHolder());
      return;
    }
    exhaustion.denied(budget, clock.exactMillis());
    double millis = perMilli > 0 ? (missing + account.deniedInARow) / perMilli : 1;
    account.deniedInARow++;
    long retryAfterMillis = (long) Math.ceil(Math.min(MAX_RETRY_AFTER_MILLIS, millis));
    ask.listener().accept(BudgetReply.denied(retryAfterMillis, 0));
  }
}
