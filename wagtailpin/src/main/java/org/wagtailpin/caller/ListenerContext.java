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
  private volatile long endMillis = Long.MAX_VALUE;

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
   * Sets when the listener will have closed all its connections. Requests whose deadline lies later
   * are refused from now on. A further call can only make the end earlier.
   *
   * @param millis the time from now, in milliseconds
   */
  void announceEnd(long millis) {
    endMillis = Math.min(endMillis, environment.clock().millis() + millis);
  }

  /** Returns whether an end was announced. */
  boolean endAnnounced() {
    return endMillis != Long.MAX_VALUE;
  }

  /**
   * Marks the listener as draining.
   *
   * @param graceMillis how long calls in flight may continue, in milliseconds
   */
  void startDraining(long graceMillis) {
    announceEnd(graceMillis);
    draining = true;
  }

  /**
   * Decides whether a request is admitted. Once an end was announced, requests are refused whose
   * deadline lies after it.
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
        && admitted.descriptor().deadlineMillis() > endMillis) {
      return new CallAdmission.Refused(
          RequestProblems.leaving(environment.settings().retryAfterMillis()));
    }
    if (admission instanceof CallAdmission.Refused refused) {
      refused.key().ifPresent(reason -> environment.keyRefusals().record(reason, request.key()));
    }
    return admission;
  }
}
