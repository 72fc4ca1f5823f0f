package org.wagtailpin.caller;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.atomic.AtomicInteger;
import org.wagtailpin.call.CallAdmission;
import org.wagtailpin.call.CallEnvironment;
import org.wagtailpin.call.IncomingRequest;
import org.wagtailpin.config.Tunable;

/** What the connections of a listener share. */
final class ListenerContext {

  private final CallEnvironment environment;
  private final CallerLimits limits;
  private final RequestHeadReader headReader;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicInteger connectionCount = new AtomicInteger();
  private final AtomicInteger callCount = new AtomicInteger();
  private volatile boolean draining;
  private volatile long drainEndMillis = Long.MAX_VALUE;

  ListenerContext(CallEnvironment environment, CallerLimits limits, RequestHeadReader heads) {
    this.environment = environment;
    this.limits = limits;
    this.headReader = heads;
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

  /** Returns the longest time from the first byte of a head to its last, in milliseconds. */
  long headTimeoutMillis() {
    return configuredOrDefault(Tunable.CALLER_HEAD_MILLIS, limits.headTimeoutMillis());
  }

  /** Returns the length of the longest body, in bytes. */
  long maxBodyBytes() {
    return configuredOrDefault(Tunable.CALLER_BODY_BYTES, limits.maxBodyBytes());
  }

  /** Returns the greatest size of a request's headers, in bytes. */
  int maxHeadBytes() {
    return (int) configuredOrDefault(Tunable.CALLER_HEAD_BYTES, limits.maxHeadBytes());
  }

  /** The operator's configuration goes before the listener's own limits. */
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
   * Notes that the listener drains.
   *
   * @param graceMillis how long calls in flight may go on, in milliseconds
   */
  void startDraining(long graceMillis) {
    drainEndMillis = environment.clock().millis() + graceMillis;
    draining = true;
  }

  /**
   * Decides on a request by its head.
   *
   * @param request the request
   * @param length the length of its body, below 0 if its head does not tell
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

  /** Tells whether connections are cut before a call must have ended. */
  private boolean drainEndsBefore(long deadlineMillis) {
    return draining && deadlineMillis > drainEndMillis;
  }
}
