package org.wagtailpin.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.wagtailpin.backend.AnswerHead;
import org.wagtailpin.backend.BackendExchange;
import org.wagtailpin.backend.BackendRequest;
import org.wagtailpin.backend.ExchangeFailure;
import org.wagtailpin.backend.ExchangeListener;
import org.wagtailpin.backend.RequestBody;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.RefusalPattern;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.routing.AttemptOutcome;
import org.wagtailpin.routing.AttemptReport;
import org.wagtailpin.routing.Grant;
import org.wagtailpin.routing.LimitStatement;
import org.wagtailpin.routing.LoadReport;
import org.wagtailpin.routing.PlacementHandle;

/**
 * One attempt to run a call on a backend server. Classifies the server's answer as an answer to the
 * caller or as a refusal, and reports the outcome to the grant and the call once. Confined to the
 * call's event loop.
 */
final class Attempt implements ExchangeListener {

  private final Call call;
  private final ConfigService service;
  private final Grant grant;
  private final double startedMillis;
  private BackendExchange exchange;
  private Optional<LoadReport> load = Optional.empty();
  private LimitStatement limit = new LimitStatement.Unknown();
  private long bytes;
  private int status;
  private boolean refused;
  private boolean unprovenRefusal;
  private boolean finished;
  private AnswerWatch watch = AnswerWatch.none();
  private Optional<PlacementHandle> replacement = Optional.empty();

  Attempt(Call call, ConfigService service, Grant grant) {
    this.call = call;
    this.service = service;
    this.grant = grant;
    this.startedMillis = call.nowMillis();
  }

  void start(BackendRequest request) {
    bytes = request.body() instanceof RequestBody.Buffered held ? held.bytes().length : 0;
    BackendExchange started = call.environment().backend().send(request, call.loop(), this);
    exchange = started;
    if (awaitsAnswer() && request.body().replayable()) {
      watch = AnswerWatch.start(call.loop(), grant.silenceMillis(), this::unanswered);
    }
  }

  private void unanswered() {
    grant.unanswered();
    String server = grant.server().name();
    replacement =
        call.replaceUnanswered(
            this,
            new Fault(
                Step.AWAIT_ANSWER, Peer.BACKEND_SERVER, server, "the server left it unanswered"));
  }

  Grant grant() {
    return grant;
  }

  double startedMillis() {
    return startedMillis;
  }

  int status() {
    return status;
  }

  /** Returns whether no part of an answer was received, and the attempt goes on. */
  boolean awaitsAnswer() {
    return !finished && status == 0;
  }

  private void stopWatch() {
    watch.stop();
    replacement.ifPresent(PlacementHandle::withdraw);
  }

  void pause() {
    if (exchange != null) {
      exchange.pause();
    }
  }

  void resume() {
    if (exchange != null) {
      exchange.resume();
    }
  }

  /**
   * Cancels the exchange because the deadline has passed or the caller's request has failed.
   *
   * @param fault the cause
   * @return {@code NotRun} if it is proved that the server did not run the request, otherwise
   *     {@code Unknown}
   */
  AttemptOutcome expire(Fault fault) {
    boolean notRun = exchange == null || exchange.cancel() || refused;
    AttemptOutcome outcome =
        notRun ? new AttemptOutcome.NotRun(fault) : new AttemptOutcome.Unknown(fault);
    finish(outcome);
    return outcome;
  }

  /**
   * Cancels the exchange because the caller has disconnected.
   *
   * @return whether it is proved that the server did not run the request
   */
  boolean cancel() {
    boolean notRun = exchange == null || exchange.cancel() || refused;
    finish(new AttemptOutcome.Cancelled());
    return notRun;
  }

  @Override
  public void head(AnswerHead head) {
    stopWatch();
    load = head.load();
    status = head.status();
    refused = isRefusal(head);
    limit = head.limit();
    unprovenRefusal = !refused && call.environment().dialect().notRunStatuses().contains(status);
    if (!refused && !unprovenRefusal) {
      call.answerBegan(head.status(), head.headers());
    }
  }

  private boolean isRefusal(AnswerHead head) {
    for (RefusalPattern pattern : service.refusals()) {
      if (pattern.status() == head.status() && matchesHeader(head, pattern)) {
        return true;
      }
    }
    return false;
  }

  private static boolean matchesHeader(AnswerHead head, RefusalPattern pattern) {
    if (pattern.headerName().isEmpty()) {
      return true;
    }
    String value = head.headers().get(pattern.headerName());
    return value != null && value.strip().equalsIgnoreCase(pattern.headerValue());
  }

  @Override
  public void part(ByteBuf part) {
    bytes += part.readableBytes();
    if (refused || unprovenRefusal) {
      part.release();
    } else {
      call.answerPart(part);
    }
  }

  @Override
  public void end(HttpHeaders trailers) {
    if (refused) {
      failRefused();
      return;
    }
    if (unprovenRefusal) {
      failUnprovenRefusal();
      return;
    }
    finish(new AttemptOutcome.Answered(status));
    call.answerEnded(trailers);
  }

  private void failUnprovenRefusal() {
    Fault fault =
        new Fault(
            Step.AWAIT_ANSWER,
            Peer.BACKEND_SERVER,
            grant.server().name(),
            "status " + status + " without proof that the request was not run");
    end(new AttemptOutcome.Unknown(fault));
  }

  private void failRefused() {
    Fault fault =
        new Fault(
            Step.AWAIT_ANSWER,
            Peer.BACKEND_SERVER,
            grant.server().name(),
            "the server refused the request with status " + status);
    end(new AttemptOutcome.NotRun(fault));
  }

  @Override
  public void failed(ExchangeFailure failure) {
    if (refused) {
      failRefused();
    } else if (unprovenRefusal) {
      failUnprovenRefusal();
    } else if (failure.notRun()) {
      end(new AttemptOutcome.NotRun(failure.fault()));
    } else {
      end(new AttemptOutcome.Unknown(failure.fault()));
    }
  }

  private void end(AttemptOutcome outcome) {
    finish(outcome);
    call.attemptFailed(outcome);
  }

  private void finish(AttemptOutcome outcome) {
    if (finished) {
      return;
    }
    finished = true;
    stopWatch();
    double latencyMillis = call.nowMillis() - startedMillis;
    grant.finished(new AttemptReport(outcome, latencyMillis, load, bytes, limit));
    call.attemptFinished(this, outcome, latencyMillis);
  }
}
