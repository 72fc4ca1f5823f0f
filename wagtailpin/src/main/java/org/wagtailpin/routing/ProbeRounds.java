package org.wagtailpin.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.limits.ProbeBudget;

/**
 * Asks a few servers for their load before a call is placed, where too little is known.
 *
 * <p>Load shifts faster than answers bring reports, so a call is better placed by a report that is
 * younger than the shifts. Rounds go on, nearest servers first, until one is known to be free and
 * quick, the servers that are worth asking are used up, or the time for it is. Safe for all
 * threads.
 */
final class ProbeRounds {

  private final Clock clock;
  private final ServerPicker picker;
  private final ServerCosts costs;
  private final LoadProbe probe;
  private final ProbeBudget budget;
  private final DelayedTasks tasks;

  ProbeRounds(
      Clock clock,
      ServerPicker picker,
      ServerCosts costs,
      LoadProbe probe,
      ProbeBudget budget,
      DelayedTasks tasks) {
    this.clock = clock;
    this.picker = picker;
    this.costs = costs;
    this.probe = probe;
    this.budget = budget;
    this.tasks = tasks;
  }

  /**
   * Asks servers and then goes on.
   *
   * @param service the service
   * @param request what is asked for; servers tried already are not asked
   * @param then what to do afterwards, at once if there is nothing to ask
   */
  void run(ServiceState service, Request request, Runnable then) {
    ServiceView view = service.view();
    Optional<String> path = view.probePath();
    double untilMillis = clock.exactMillis() + view.settings().of(Tunable.PROBE_MILLIS);
    if (path.isEmpty()
        || view.settings().of(Tunable.PROBES_PER_ROUND) < 1
        || !service.reportsLoad()) {
      then.run();
      return;
    }
    new Run(service, request, path.get(), untilMillis, then).next();
  }

  /** The rounds for one call. */
  private final class Run {
    private final ServiceState service;
    private final Request request;
    private final String path;
    private final double untilMillis;
    private final Runnable then;
    private final Set<String> asked = new HashSet<>();

    Run(ServiceState service, Request request, String path, double untilMillis, Runnable then) {
      this.service = service;
      this.request = request;
      this.path = path;
      this.untilMillis = untilMillis;
      this.then = then;
    }

    void next() {
      double now = clock.exactMillis();
      if (now >= untilMillis) {
        then.run();
        return;
      }
      List<Choice> choices = choices();
      if (choices.isEmpty() || known(choices.get(0), now)) {
        then.run();
        return;
      }
      List<ServerState> round = round(choices, now);
      if (round.isEmpty()) {
        then.run();
      } else {
        ask(round);
      }
    }

    private List<Choice> choices() {
      List<Choice> choices = new ArrayList<>();
      ServiceView view = service.view();
      for (int i = 0; i < view.size(); i++) {
        picker.only(service, view.at(i), request).ifPresent(choices::add);
      }
      choices.sort(Comparator.comparingDouble(Choice::costMillis));
      return choices;
    }

    /** Tells whether a server is known to be free and quick, so that no other need be asked. */
    private boolean known(Choice choice, double now) {
      return fresh(choice.server(), now)
          && choice.overload() <= 0
          && !ServerCosts.nearlyFull(service, choice.load(), choice.server().server().slots())
          && costs.slowness(service, choice.server(), now)
              < service.view().settings().of(Tunable.TOLERATED_SLOWNESS);
    }

    private boolean fresh(ServerState server, double now) {
      double age = server.load().ageMillis(now);
      return age >= 0 && age < service.view().settings().of(Tunable.REPORT_FRESH_MILLIS);
    }

    private List<ServerState> round(List<Choice> choices, double now) {
      int most = (int) service.view().settings().of(Tunable.PROBES_PER_ROUND);
      List<ServerState> round = new ArrayList<>();
      for (Choice choice : choices) {
        ServerState server = choice.server();
        if (round.size() < most
            && !asked.contains(server.server().name())
            && !fresh(server, now)
            && allowed(server)) {
          asked.add(server.server().name());
          round.add(server);
        }
      }
      return round;
    }

    private boolean allowed(ServerState server) {
      double perServer = service.view().settings().of(Tunable.SERVER_PROBES_PER_SECOND);
      double perEntry = perServer * service.view().size();
      ProbeBudget.Rates rates = new ProbeBudget.Rates(perServer, perEntry, perEntry);
      ConfigServer config = server.server();
      return budget.take(config.name(), config.region(), true, rates);
    }

    private void ask(List<ServerState> round) {
      AtomicBoolean over = new AtomicBoolean();
      AtomicInteger open = new AtomicInteger(round.size());
      double left = untilMillis - clock.exactMillis();
      var timeout =
          tasks.schedule(
              (long) Math.ceil(Math.max(1, left)),
              () -> {
                if (over.compareAndSet(false, true)) {
                  then.run();
                }
              });
      for (ServerState server : round) {
        probe.probe(
            server.server(),
            path,
            report -> {
              report.ifPresent(load -> service.learnLoad(server, load, clock.exactMillis()));
              if (open.decrementAndGet() == 0 && over.compareAndSet(false, true)) {
                timeout.cancel();
                next();
              }
            });
      }
    }
  }
}
