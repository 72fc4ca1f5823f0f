package org.wagtailpin.caller;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.atomic.AtomicInteger;
import org.wagtailpin.call.CallAdmission;
import org.wagtailpin.call.CallEnvironment;
import org.wagtailpin.call.IncomingRequest;
import org.wagtailpin.config.Tunable;

/** State and services shared by the connections of a listener. Thread-safe. */
final class ListenerContext {

  private final CallEnvironment environment;
  private final CallerLimits limits;
  private final RequestHeadReader headReader;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicInteger connectionCount = new AtomicInteger();
  private final AtomicInteger callCount = new AtomicInteger();
  private volatile boolean draining;
  private volatile long drainEndMillis = Long.MAX_VALUE;

  ListenerContext(CallEnvironment environment, CallerLimits limits, RequestHeadReader headReader) {
    this.environment = environment;
    this.limits = limits;
    this.headReader = headReader;
  }

  CallEnvironment environment() {
    return environment;
  }

  CallerLimits limits() {
    return limits;
  }

  /** Returns how long a connection may wait for its next request, in milliseconds. */
  long idleTimeoutMillis() {
    return configuredOrDefault(Tunable.CALLER_IDLE_MILLIS, limits.idleTimeoutMillis());
  }

  /** Returns the maximum time from the first byte of a head to its last, in milliseconds. */
  long headTimeoutMillis() {
    return configuredOrDefault(Tunable.CALLER_HEAD_MILLIS, limits.headTimeoutMillis());
  }

  /** Returns the maximum length of a request body, in bytes. */
  long maxBodyBytes() {
    return configuredOrDefault(Tunable.CALLER_BODY_BYTES, limits.maxBodyBytes());
  }

  /** Returns the maximum size of a request's headers, in bytes. */
  int maxHeadBytes() {
    return (int) configuredOrDefault(Tunable.CALLER_HEAD_BYTES, limits.maxHeadBytes());
  }

  /** Returns the value of a tunable if the configuration sets it, else the listener's own limit. */
  private long configuredOrDefault(Tunable tunable, long defaultValue) {
    return environment
        .config()
        .current()
        .globalValue(tunable)
        .map(Double::longValue)
        .orElse(defaultValue);
  }

  RequestHeadReader headReader() {
    return headReader;
  }

  ChannelGroup channels() {
    return channels;
  }

  AtomicInteger connectionCount() {
    return connectionCount;
  }

  AtomicInteger callCount() {
    return callCount;
  }

  boolean draining() {
    return draining;
  }

  /**
   * Marks the listener as draining.
   *
   * @param graceMillis how long calls in flight may continue, in milliseconds
   */
  void startDraining(long graceMillis) {
    drainEndMillis = environment.clock().millis() + graceMillis;
    draining = true;
  }

  /**
   * Decides whether a request is admitted. During a drain, requests are refused whose deadline lies
   * after its end.
   *
   * @param request the head of the request
   * @param length the stated length of the body in bytes, negative if none is stated
   */
  CallAdmission admit(IncomingRequest request, long length) {
    if (length > maxBodyBytes()) {
      return new CallAdmission.Refused(RequestProblems.bodyTooLong());
    }
    CallAdmission admission =
        CallAdmission.of(environment.config().current(), request, environment.clock());
    if (admission instanceof CallAdmission.Admitted admitted
        && drainEndsBefore(admitted.descriptor().deadlineMillis())) {
      return new CallAdmission.Refused(
          RequestProblems.leaving(environment.settings().retryAfterMillis()));
    }
    return admission;
  }

  /** Returns whether a drain is in progress and ends before the given deadline. */
  private boolean drainEndsBefore(long deadlineMillis) {
    return draining && deadlineMillis > drainEndMillis;
  }
}
