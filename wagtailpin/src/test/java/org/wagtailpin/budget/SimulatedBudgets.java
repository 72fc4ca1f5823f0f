package org.wagtailpin.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.control.ScheduledTask;
import org.wagtailpin.eventlog.NoOpEventLog;

/**
 * Entries in failure domains that share budgets in simulated time, with messages that take time,
 * and entries that are killed, freeze, are cut off, or follow different holders.
 */
final class SimulatedBudgets {

  static final BudgetKey SMALL = BudgetKey.customerQuota("small");
  static final BudgetKey LARGE = BudgetKey.customerQuota("large");

  /** Ordered, so that a seed always gives the same schedule. */
  static final Map<BudgetKey, BudgetLimit> LIMITS =
      ordered(
          List.of(
              Map.entry(SMALL, new BudgetLimit(8, 16)),
              Map.entry(LARGE, new BudgetLimit(200, 50))));

  private static final long BEAT_MILLIS = 660;
  private static final long MAX_FAILURE_DETECTION_MILLIS = 1_500;

  final ManualClock clock = new ManualClock(1_000_000);
  final ManualControlLoop time = new ManualControlLoop(clock);
  final UniformRandomProvider random;
  final List<Node> nodes = new ArrayList<>();
  final BudgetSettings settings;

  /** The sizes of the budgets; changes apply at once to all entries. */
  final Map<BudgetKey, BudgetLimit> limits;

  private final int perDomain;
  private final double validMillis;
  private final Map<BudgetKey, Deque<Long>> uses = new HashMap<>();
  private final List<String> broken = new ArrayList<>();
  int granted;
  int denied;
  int unavailable;

  /** Messages between entries for units, without beats. */
  int messages;

  SimulatedBudgets(int domains, int perDomain, long seed, double validMillis) {
    this(domains, perDomain, seed, validMillis, LIMITS);
  }

  SimulatedBudgets(
      int domains,
      int perDomain,
      long seed,
      double validMillis,
      Map<BudgetKey, BudgetLimit> limits) {
    this.limits = new LinkedHashMap<>(limits);
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.settings = BudgetSettings.ofQuotas(domains, Map.of());
    this.perDomain = perDomain;
    this.validMillis = validMillis;
    limits.keySet().forEach(key -> uses.put(key, new ArrayDeque<>()));
    for (int d = 0; d < domains; d++) {
      for (int e = 0; e < perDomain; e++) {
        nodes.add(new Node("d" + d + "-" + (10 + e), "d" + d));
      }
    }
    nodes.forEach(Node::start);
  }

  private static Map<BudgetKey, BudgetLimit> ordered(
      List<Map.Entry<BudgetKey, BudgetLimit>> entries) {
    Map<BudgetKey, BudgetLimit> map = new LinkedHashMap<>();
    entries.forEach(entry -> map.put(entry.getKey(), entry.getValue()));
    return Collections.unmodifiableMap(map);
  }

  /** Returns the windows in which more than the bound was used. */
  List<String> broken() {
    return broken;
  }

  private void use(BudgetKey budget) {
    Deque<Long> window = uses.get(budget);
    window.add(clock.millis());
    while (window.peek() < clock.millis() - settings.windowMillis()) {
      window.remove();
    }
    if (window.size() > settings.windowBound(limits.get(budget))) {
      broken.add(budget.name() + " " + window.size() + " at " + clock.millis());
    }
  }

  /**
   * Requests a unit at an entry, and uses it if it is granted and still valid when the call is
   * sent.
   *
   * @param sentMillis when the call is sent at the earliest
   */
  void call(Node node, BudgetKey budget, long sentMillis) {
    if (node.running) {
      node.budgets.request(budget, 1, answer -> answered(node, budget, sentMillis, answer));
    }
  }

  private void answered(Node node, BudgetKey budget, long sentMillis, BudgetAnswer answer) {
    if (answer instanceof BudgetAnswer.Granted unit) {
      long wait = Math.max(0, sentMillis - clock.millis());
      node.schedule(wait, () -> send(node, budget, unit));
    } else if (answer instanceof BudgetAnswer.Denied) {
      denied++;
    } else {
      unavailable++;
    }
  }

  private void send(Node node, BudgetKey budget, BudgetAnswer.Granted unit) {
    if (clock.exactMillis() > unit.usableUntilMillis()) {
      call(node, budget, 0);
      return;
    }
    granted++;
    use(budget);
  }

  /** Starts to count anew. */
  void forgetCounts() {
    granted = 0;
    denied = 0;
    unavailable = 0;
    messages = 0;
    nodes.forEach(node -> node.received = 0);
  }

  Optional<Node> find(String id) {
    return nodes.stream().filter(node -> node.id.equals(id)).findFirst();
  }

  /** One entry; its process may end, stand still and start again without state. */
  final class Node implements BudgetPeers, BudgetLink, ControlLoop {
    final String id;
    final String domain;
    boolean running;
    boolean frozen;
    private int group;
    private Optional<String> forcedHolder = Optional.empty();
    private int incarnation;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private FleetBudgets budgets;
    private FollowerCount followers;

    /** Requests for units that came from other entries. */
    int received;

    private Optional<String> holder = Optional.empty();
    private List<Holder> others = List.of();

    Node(String id, String domain) {
      this.id = id;
      this.domain = domain;
    }

    void start() {
      incarnation++;
      running = true;
      frozen = false;
      held.clear();
      holder = Optional.empty();
      followers = new FollowerCount(() -> perDomain, clock);
      budgets =
          new FleetBudgets(
              id,
              settings,
              key -> Optional.ofNullable(limits.get(key)),
              this,
              this,
              this,
              clock,
              BudgetMetrics.none(),
              new NoOpEventLog(),
              validMillis);
      execute(budgets::start);
      execute(this::beat);
      execute(this::lookAround);
    }

    void kill() {
      running = false;
      incarnation++;
    }

    void resume() {
      frozen = false;
      while (!held.isEmpty() && !frozen) {
        held.remove().run();
      }
    }

    /** Has this entry reach only those of the same group; all are in group 0 at first. */
    void cut(int newGroup) {
      group = newGroup;
    }

    /** Has this entry follow an entry of its domain, whatever others do. */
    void forceHolder(Optional<String> entry) {
      forcedHolder = entry;
    }

    private boolean reaches(Node other) {
      return other.group == group && other.running;
    }

    private void beat() {
      sendBeat();
      schedule(BEAT_MILLIS, this::beat);
    }

    private void sendBeat() {
      holder
          .flatMap(SimulatedBudgets.this::find)
          .filter(to -> to != this)
          .ifPresent(to -> deliver(to, () -> to.followers.beat(id)));
    }

    /** Selects the holders, some time after others ended, froze or were cut off. */
    private void lookAround() {
      Optional<String> before = holder;
      holder = forcedHolder.isPresent() ? forcedHolder : firstOf(domain);
      if (!holder.equals(before)) {
        sendBeat();
      }
      List<Holder> found = new ArrayList<>();
      for (int d = 0; d < settings.domains(); d++) {
        String other = "d" + d;
        if (!other.equals(domain)) {
          firstOf(other).ifPresent(entry -> found.add(new Holder(entry, other)));
        }
      }
      others = found;
      schedule(100 + random.nextLong(MAX_FAILURE_DETECTION_MILLIS), this::lookAround);
    }

    private Optional<String> firstOf(String inDomain) {
      return nodes.stream()
          .filter(node -> node.domain.equals(inDomain) && reaches(node) && !node.frozen)
          .map(node -> node.id)
          .findFirst();
    }

    private void deliver(Node to, Runnable task) {
      if (!reaches(to)) {
        return;
      }
      long delay = to.domain.equals(domain) ? 1 : 2 + random.nextLong(8);
      int receiver = to.incarnation;
      time.schedule(
          delay,
          () -> {
            if (to.incarnation == receiver) {
              to.run(task);
            }
          });
    }

    private void run(Runnable task) {
      if (frozen) {
        held.add(task);
      } else {
        task.run();
      }
    }

    @Override
    public void send(
        String entry,
        BudgetRequest request,
        long timeoutMillis,
        Consumer<Optional<BudgetReply>> listener) {
      boolean[] answered = {false};
      Consumer<Optional<BudgetReply>> once =
          reply -> {
            if (!answered[0]) {
              answered[0] = true;
              listener.accept(reply);
            }
          };
      messages++;
      find(entry)
          .ifPresent(
              to ->
                  deliver(
                      to,
                      () -> {
                        to.received++;
                        to.budgets.answer(request, reply -> reply(to, reply, once));
                      }));
      schedule(timeoutMillis, () -> once.accept(Optional.empty()));
    }

    private void reply(Node from, BudgetReply reply, Consumer<Optional<BudgetReply>> listener) {
      messages++;
      from.deliver(this, () -> listener.accept(Optional.of(reply)));
    }

    @Override
    public boolean holding() {
      return holder.equals(Optional.of(id));
    }

    @Override
    public double followedShare() {
      return followers.share();
    }

    @Override
    public Optional<String> holder() {
      return holder;
    }

    @Override
    public List<Holder> otherHolders() {
      return others;
    }

    @Override
    public void execute(Runnable task) {
      schedule(0, task);
    }

    @Override
    public ScheduledTask schedule(long delayMillis, Runnable task) {
      int own = incarnation;
      return time.schedule(
          delayMillis,
          () -> {
            if (incarnation == own) {
              run(task);
            }
          });
    }
  }
}
