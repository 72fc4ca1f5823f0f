package org.wagtailpin.benchmark.experiment;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wagtailpin.benchmark.experiment.WorkSource.Draw;
import org.wagtailpin.config.ConfigRoute;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.routing.AttemptHistory;
import org.wagtailpin.routing.AttemptOutcome;
import org.wagtailpin.routing.AttemptReport;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.Grant;
import org.wagtailpin.routing.LoadReport;
import org.wagtailpin.routing.Placement;
import org.wagtailpin.routing.PlacementListener;
import org.wagtailpin.routing.Refusal;
import org.wagtailpin.routing.RetryDecision;
import org.wagtailpin.routing.RetryPolicy;

/**
 * One simulated entry and its callers: generates calls and sends them to the servers chosen by its
 * placement. Runs on one event loop.
 */
final class EntryClient {

  private static final double MICROS_PER_MILLI = 1000;
  private static final int MAX_CALLS_PER_ENTRY = 1 << 16;

  private final EntryContext context;
  private final EventLoop loop;
  private final Placement placement;
  private final RetryPolicy retries;
  private final WorkSource source;
  private final Phases phases;
  private final ExecutionCounter executionCounter;
  private final double callsPerMilliAtFullLoad;
  private final long callBytes;
  private final Map<String, ServerLink> links = new HashMap<>();
  private final Map<String, ConfigRoute> routes = new HashMap<>();
  private double startMillis;
  private double nextArrival;
  private int calls;

  EntryClient(
      EntryContext context,
      EventLoop loop,
      Placement placement,
      RetryPolicy retries,
      ExperimentFile file,
      Phases phases,
      ExecutionCounter executionCounter) {
    this.context = context;
    this.loop = loop;
    this.placement = placement;
    this.retries = retries;
    this.source = new WorkSource(file, context.seed(), context.number());
    this.phases = phases;
    this.executionCounter = executionCounter;
    this.callsPerMilliAtFullLoad =
        file.services().stream().mapToDouble(WorkSource::callsPerMilli).sum() / context.entries();
    this.callBytes = file.callBytes();
    ConfigSnapshot snapshot = context.config().current();
    snapshot.routes().forEach(route -> routes.put(route.name(), route));
  }

  void addLink(String server, ServerLink link) {
    links.put(server, link);
  }

  Map<String, ServerLink> links() {
    return links;
  }

  EventLoop loop() {
    return loop;
  }

  /** Starts generating calls; {@code atMillis} is the start of the run by the entry's clock. */
  void start(double atMillis) {
    startMillis = atMillis;
    loop.execute(this::scheduleNext);
  }

  private void scheduleNext() {
    double load = phases.load(nextArrival);
    if (load <= 0) {
      return;
    }
    nextArrival += source.gapMillis(load * callsPerMilliAtFullLoad);
    if (nextArrival >= phases.totalMillis()) {
      return;
    }
    Draw draw = source.next();
    double arrival = nextArrival;
    double wait = startMillis + arrival - context.clock().exactMillis();
    Runnable call =
        () -> {
          scheduleNext();
          new Call(draw, arrival).submit();
        };
    loop.schedule(call, (long) Math.max(0, wait * MICROS_PER_MILLI), TimeUnit.MICROSECONDS);
  }

  /** One call of a caller, with all its attempts. */
  private final class Call implements PlacementListener {

    private final Draw draw;
    private final int number =
        context.number() * MAX_CALLS_PER_ENTRY + calls++ % MAX_CALLS_PER_ENTRY;
    private final double arrivedMillis;
    private final Optional<PhaseTally> tally;
    private final CallDescriptor descriptor;
    private AttemptHistory history = AttemptHistory.none();

    Call(Draw draw, double arrival) {
      this.draw = draw;
      this.arrivedMillis = startMillis + arrival;
      this.tally = phases.tallyAt(arrival);
      this.descriptor =
          new CallDescriptor(
              Integer.toString(number),
              routes.get(draw.route().name()),
              draw.route().repeatable(),
              draw.group().name(),
              0,
              (long) arrivedMillis + draw.route().deadlineMillis());
    }

    void submit() {
      tally.ifPresent(t -> t.offered.increment());
      retries.firstAttempt(descriptor);
      placement.request(descriptor, history, this);
    }

    @Override
    public void granted(Grant grant) {
      if (loop.inEventLoop()) {
        send(grant);
      } else {
        loop.execute(() -> send(grant));
      }
    }

    private void send(Grant grant) {
      history = history.with(grant.server().name());
      if (!grant.server().region().equals(context.locality().region())) {
        tally.ifPresent(t -> t.crossRegionBytes.add(callBytes));
      }
      double sentMillis = context.clock().exactMillis();
      links
          .get(grant.server().name())
          .send(number, draw.workMicros(), answer -> answered(grant, sentMillis, answer));
    }

    private void answered(Grant grant, double sentMillis, Frame answer) {
      double now = context.clock().exactMillis();
      LoadReport load = new LoadReport(answer.inFlight(), answer.queued(), answer.leaving());
      AttemptOutcome outcome = outcome(grant, answer);
      grant.finished(new AttemptReport(outcome, now - sentMillis, Optional.of(load)));
      if (outcome instanceof AttemptOutcome.NotRun) {
        retryOrRefuse(outcome);
        return;
      }
      tally.ifPresent(t -> countAnswer(t, answer, now));
    }

    private AttemptOutcome outcome(Grant grant, Frame answer) {
      if (answer.status() == StandInServer.SERVICE_UNAVAILABLE) {
        return new AttemptOutcome.NotRun(
            new Fault(Step.AWAIT_ANSWER, Peer.BACKEND_SERVER, grant.server().name(), "refused"));
      }
      return new AttemptOutcome.Answered(answer.status());
    }

    private void countAnswer(PhaseTally phase, Frame answer, double now) {
      if (answer.status() >= StandInServer.INTERNAL_SERVER_ERROR) {
        phase.failed.increment();
        return;
      }
      phase.recordAnswer(
          draw.service().name(),
          draw.workClass(),
          now - arrivedMillis,
          now <= descriptor.deadlineMillis());
      if (!draw.route().repeatable() && executionCounter.executions(number) > 1) {
        phase.repeated.increment();
      }
    }

    private void retryOrRefuse(AttemptOutcome outcome) {
      RetryDecision decision = retries.decide(descriptor, history, outcome);
      if (!decision.retry()) {
        countRefusal();
        return;
      }
      tally.ifPresent(t -> t.retries.increment());
      loop.schedule(
          () -> placement.request(descriptor, history, this),
          decision.delayMillis(),
          TimeUnit.MILLISECONDS);
    }

    @Override
    public void refused(Refusal refusal) {
      countRefusal();
    }

    private void countRefusal() {
      tally.ifPresent(t -> t.refused.increment());
      if (executionCounter.executions(number) > 0) {
        tally.ifPresent(t -> t.untrueRefusals.increment());
      }
    }
  }
}
