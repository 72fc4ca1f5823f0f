package org.wagtailpin.call;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wagtailpin.backend.RequestBody;
import org.wagtailpin.claims.HeldAnswer;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.routing.AttemptHistory;
import org.wagtailpin.routing.AttemptOutcome;
import org.wagtailpin.routing.AttemptReport;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.Grant;
import org.wagtailpin.routing.PlacementHandle;
import org.wagtailpin.routing.PlacementListener;
import org.wagtailpin.routing.Refusal;
import org.wagtailpin.routing.RetryDecision;
import org.wagtailpin.transport.EndToEndHeaders;
import org.wagtailpin.transport.HttpDialect;

/**
 * Lifecycle of one caller request, from its admission to its answer: claim of the idempotency key,
 * placement, attempts, retries and deadline.
 *
 * <p>Confined to the event loop of the caller's connection; results that arrive on other threads
 * are handed over to that loop. A call ends exactly once and completes its sink exactly once.
 */
public final class Call {

  private final CallEnvironment environment;
  private final IncomingRequest request;
  private final CallDescriptor descriptor;
  private final ConfigService service;
  private final Optional<String> key;
  private final AnswerSink sink;
  private final AnswerRelay relay;
  private final CallRecorder recorder;
  private final CallProblems problems;
  private final EventLoop loop;
  private Future<?> timer;
  private AttemptRequestFactory requestFactory;
  private AttemptHistory history = AttemptHistory.none();
  private Optional<KeyedWork> keyedWork = Optional.empty();
  private Optional<PlacementHandle> pendingPlacement = Optional.empty();
  private Optional<Attempt> attempt = Optional.empty();
  private Optional<Fault> lastFault = Optional.empty();
  private boolean mayHaveRun;
  private boolean callerHasDisconnected;
  private boolean answerPaused;
  private boolean ended;
  private double lastProgressMillis;
  private long answerBytes;

  /**
   * Creates a call and starts its deadline timer.
   *
   * @param environment the services shared by all calls of the entry
   * @param request the head of the request
   * @param admission the route and service selected for the request
   * @param sink the receiver of the answer
   * @param loop the event loop of the caller's connection; all methods must be called on it
   */
  public Call(
      CallEnvironment environment,
      IncomingRequest request,
      CallAdmission.Admitted admission,
      AnswerSink sink,
      EventLoop loop) {
    this.environment = environment;
    this.request = request;
    this.descriptor = admission.descriptor();
    this.service = admission.service();
    this.key = admission.key();
    this.sink = sink;
    this.relay =
        new AnswerRelay(
            sink,
            environment.dialect().buffersAnswers(),
            environment.settings().maxBufferedAnswerBytes());
    this.recorder = new CallRecorder(environment.events(), environment.metrics(), descriptor);
    this.problems = new CallProblems(environment.settings(), environment.dialect());
    this.loop = loop;
    recorder.admitted(remainingMillis(), admission.snapshotVersion());
    this.timer = loop.schedule(this::expire, remainingMillis(), TimeUnit.MILLISECONDS);
  }

  CallEnvironment environment() {
    return environment;
  }

  EventLoop loop() {
    return loop;
  }

  double nowMillis() {
    return environment.clock().exactMillis();
  }

  private long remainingMillis() {
    return Math.max(0, descriptor.deadlineMillis() - environment.clock().millis());
  }

  /**
   * Starts processing once the request body is available: claims the idempotency key, if there is
   * one, and requests a backend server. Has no effect if the call has ended.
   *
   * @param body the request body, complete or streamed
   */
  public void begin(RequestBody body) {
    if (ended) {
      return;
    }
    requestFactory = new AttemptRequestFactory(environment, request, descriptor, service, body);
    if (key.isPresent()) {
      new KeyClaim(environment, new ClaimListener())
          .submit(key.get(), descriptor, request, body, this::runOnLoop, () -> ended);
    } else {
      firstAttempt();
    }
  }

  /** Continues the call with the result of its claim. */
  private final class ClaimListener implements KeyClaim.Listener {
    @Override
    public void claimed(KeyedWork work) {
      keyedWork = Optional.of(work);
      firstAttempt();
    }

    @Override
    public void replayed(HeldAnswer answer) {
      replay(answer);
    }

    @Override
    public void refused(int status, Outcome outcome, Fault fault) {
      answerWithProblem(problems.of(status, outcome, fault));
    }
  }

  private void replay(HeldAnswer answer) {
    end(CallEnd.replayed(answer.status()));
    AnswerReplay.write(answer, request.id(), environment.dialect(), sink);
  }

  private void firstAttempt() {
    environment.retryPolicy().firstAttempt(descriptor);
    place();
  }

  private void place() {
    if (ended) {
      return;
    }
    request(Optional.empty());
  }

  private PlacementHandle request(Optional<ReplacedAttempt> replaced) {
    PlacementHandle handle =
        environment.placement().request(descriptor, history, new GrantListener(replaced));
    if (replaced.isEmpty() && attempt.isEmpty() && !ended) {
      pendingPlacement = Optional.of(handle);
    }
    return handle;
  }

  /** Forwards the placement decision to the call's event loop. */
  private final class GrantListener implements PlacementListener {
    private final Optional<ReplacedAttempt> replaced;

    GrantListener(Optional<ReplacedAttempt> replaced) {
      this.replaced = replaced;
    }

    @Override
    public void granted(Grant grant) {
      runOnLoop(() -> startAttempt(grant, replaced));
    }

    @Override
    public void refused(Refusal refusal) {
      if (replaced.isEmpty()) {
        runOnLoop(() -> placementRefused(refusal));
      }
    }
  }

  private void startAttempt(Grant grant, Optional<ReplacedAttempt> replaced) {
    boolean superseded = replaced.isPresent() && !replaced.get().attempt().awaitsAnswer();
    if (replaced.isEmpty()) {
      pendingPlacement = Optional.empty();
    }
    Optional<Fault> refusal = ended || superseded ? Optional.empty() : requestFactory.refusal();
    if (ended || superseded || refusal.isPresent()) {
      grant.finished(AttemptReport.cancelled());
      refusal.ifPresent(this::refuseRemovedKey);
      return;
    }
    if (!grant.usable()) {
      grant.finished(AttemptReport.notSent());
      request(replaced);
      return;
    }
    replaced.ifPresent(before -> before.attempt().expire(before.fault()));
    history = history.with(grant.server().name());
    Attempt next = new Attempt(this, service, grant);
    attempt = Optional.of(next);
    next.start(requestFactory.create(grant.server(), history.attempts(), remainingMillis()));
  }

  private void refuseRemovedKey(Fault fault) {
    attempt.ifPresent(running -> running.expire(fault));
    answerWithProblem(problems.keyRemoved(mayHaveRun, fault));
  }

  private void placementRefused(Refusal refusal) {
    pendingPlacement = Optional.empty();
    if (!ended) {
      answerWithProblem(problems.refused(mayHaveRun, lastFault, refusal));
    }
  }

  void answerBegan(int status, HttpHeaders headers) {
    lastProgressMillis = nowMillis();
    answerBytes = 0;
    HttpDialect dialect = environment.dialect();
    EndToEndHeaders.retain(headers, dialect.signature().stream().toList());
    headers.set(dialect.requestId(), request.id());
    keyedWork.ifPresent(work -> work.keepHead(status, headers));
    if (callerHasDisconnected) {
      relay.beginDiscarded();
    } else {
      relay.head(status, headers);
    }
  }

  void answerPart(ByteBuf part) {
    lastProgressMillis = nowMillis();
    answerBytes += part.readableBytes();
    if (answerBytes > environment.settings().maxAnswerBytes()) {
      part.release();
      cutAnswer();
      return;
    }
    keyedWork.ifPresent(work -> work.keepPart(part));
    if (callerHasDisconnected) {
      part.release();
      abandonUnlessAnswerHeld();
    } else if (!relay.part(part)) {
      answerPaused = true;
      attempt.ifPresent(Attempt::pause);
    }
  }

  /** Ends an answer that is longer than any answer may be. It is not passed on as complete. */
  private void cutAnswer() {
    Fault fault = new Fault(Step.RELAY_ANSWER, Peer.BACKEND_SERVER, "", "the answer is too long");
    lastFault = Optional.of(fault);
    mayHaveRun = true;
    attempt.ifPresent(running -> running.expire(fault));
    relay.discard();
    if (relay.began()) {
      abortAnswer();
    } else {
      answerWithProblem(problems.failed(true, fault));
    }
  }

  void answerEnded(HttpHeaders trailers) {
    keyedWork.ifPresent(KeyedWork::answered);
    if (!callerHasDisconnected) {
      relay.flush();
    }
    end(CallEnd.answered(attempt.map(Attempt::status).orElse(0)));
    if (!callerHasDisconnected) {
      sink.end(trailers);
    }
  }

  /** Resumes the backend answer; called when the sink accepts data again after it was full. */
  public void callerWritable() {
    if (answerPaused && !ended) {
      answerPaused = false;
      lastProgressMillis = nowMillis();
      attempt.ifPresent(Attempt::resume);
    }
  }

  void attemptFinished(Attempt finished, AttemptOutcome outcome, double latencyMillis) {
    mayHaveRun = mayHaveRun || !(outcome instanceof AttemptOutcome.NotRun);
    recorder.attemptEnded(finished, history.attempts(), outcome, latencyMillis);
  }

  void attemptFailed(AttemptOutcome outcome) {
    attempt = Optional.empty();
    relay.discard();
    lastFault = Optional.of(AttemptLabels.fault(outcome));
    if (relay.began()) {
      abortAnswer();
      return;
    }
    if (callerHasDisconnected) {
      settleClaimAsFailed();
      end(CallEnd.left(lastFault));
      return;
    }
    RetryDecision decision = retryDecision(outcome);
    recorder.recordRetryDecision(history.attempts(), decision);
    if (decision.retry()) {
      retryIn(decision.delayMillis());
      return;
    }
    answerWithProblem(problems.failed(mayHaveRun, AttemptLabels.fault(outcome)));
  }

  /** Requests another server for an unanswered attempt, which goes on until there is one. */
  Optional<PlacementHandle> replaceUnanswered(Attempt unanswered, Fault fault) {
    RetryDecision decision = retryDecision(new AttemptOutcome.Unknown(fault));
    if (ended || callerHasDisconnected || !decision.retry()) {
      return Optional.empty();
    }
    recorder.recordRetryDecision(history.attempts(), decision);
    return Optional.of(request(Optional.of(new ReplacedAttempt(unanswered, fault))));
  }

  private void retryIn(long delayMillis) {
    if (delayMillis <= 0) {
      place();
      return;
    }
    var unused = loop.schedule(this::place, delayMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Decides whether to retry. A request that is not repeatable is sent again only if it is proved
   * that it was not run, and any request only if its body can still be sent from the start.
   */
  private RetryDecision retryDecision(AttemptOutcome outcome) {
    if (!(outcome instanceof AttemptOutcome.NotRun || descriptor.repeatable())) {
      return RetryDecision.no("may-have-run");
    }
    return requestFactory.body().replayable()
        ? environment.retryPolicy().decide(descriptor, history, outcome)
        : RetryDecision.no("body-not-held");
  }

  private void expire() {
    if (ended) {
      return;
    }
    if (relay.began()) {
      checkAnswerStall();
      return;
    }
    Fault fault = CallProblems.deadlineFault(attempt, pendingPlacement.isPresent());
    pendingPlacement.ifPresent(PlacementHandle::withdraw);
    attempt.ifPresent(running -> running.expire(fault));
    if (callerHasDisconnected) {
      settleClaimAsFailed();
      end(CallEnd.left(Optional.of(fault)));
    } else {
      answerWithProblem(problems.expired(mayHaveRun, fault));
    }
  }

  /**
   * Handles the deadline timer after the answer has begun. From then on the route's deadline limits
   * the time without progress instead of the total time; time for which the caller itself blocks
   * the answer does not count.
   */
  private void checkAnswerStall() {
    long maxStallMillis = descriptor.route().deadlineMillis();
    double stalledMillis = answerPaused ? 0 : nowMillis() - lastProgressMillis;
    if (stalledMillis < maxStallMillis) {
      long nextMillis = Math.max(1, (long) Math.ceil(maxStallMillis - stalledMillis));
      timer = loop.schedule(this::expire, nextMillis, TimeUnit.MILLISECONDS);
      return;
    }
    Fault fault = CallProblems.deadlineFault(attempt, pendingPlacement.isPresent());
    lastFault = Optional.of(fault);
    attempt.ifPresent(running -> running.expire(fault));
    abortAnswer();
  }

  private void abortAnswer() {
    settleClaimAsFailed();
    end(CallEnd.broken(lastFault));
    if (!callerHasDisconnected) {
      sink.reset();
    }
  }

  private void settleClaimAsFailed() {
    keyedWork.ifPresent(work -> work.failed(CallProblems.outcome(mayHaveRun)));
  }

  private void answerWithProblem(Problem problem) {
    settleClaimAsFailed();
    end(CallEnd.withProblem(problem));
    sink.problem(problem);
  }

  /**
   * Handles the disconnect of the caller. Work in flight is cancelled, unless an attempt is running
   * under a claimed idempotency key and its answer is still held: then the caller can fetch the
   * answer later with the same key.
   */
  public void callerDisconnected() {
    if (ended || callerHasDisconnected) {
      return;
    }
    callerHasDisconnected = true;
    if (completesWithoutCaller()) {
      callerWritable();
      return;
    }
    abandon();
  }

  /**
   * Ends the call because the rest of the caller's request cannot be read. If the answer has
   * already begun, it is aborted instead of being replaced by a problem.
   *
   * @param status the HTTP status code to answer with, if it may be used for the outcome
   * @param fault the reason
   */
  public void requestFailed(int status, Fault fault) {
    if (ended) {
      return;
    }
    pendingPlacement.ifPresent(PlacementHandle::withdraw);
    attempt.ifPresent(running -> running.expire(fault));
    if (relay.began()) {
      abortAnswer();
    } else {
      answerWithProblem(problems.unread(status, mayHaveRun, fault));
    }
  }

  private boolean completesWithoutCaller() {
    return attempt.isPresent()
        && keyedWork.isPresent()
        && keyedWork.get().holdsAnswer()
        && requestFactory.body() instanceof RequestBody.Buffered;
  }

  private void abandonUnlessAnswerHeld() {
    if (keyedWork.isEmpty() || !keyedWork.get().holdsAnswer()) {
      abandon();
    }
  }

  private void abandon() {
    pendingPlacement.ifPresent(PlacementHandle::withdraw);
    boolean mayHaveRunBefore = mayHaveRun;
    boolean notRun = attempt.map(Attempt::cancel).orElse(true);
    mayHaveRun = mayHaveRunBefore || !notRun;
    settleClaimAsFailed();
    end(CallEnd.left(lastFault));
  }

  private void end(CallEnd callEnd) {
    ended = true;
    relay.discard();
    timer.cancel(false);
    recorder.ended(callEnd, nowMillis() - request.arrivedMillis());
  }

  private void runOnLoop(Runnable task) {
    if (loop.inEventLoop()) {
      task.run();
    } else {
      loop.execute(task);
    }
  }
}
