package org.wagtailpin.caller;

import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.atomic.AtomicInteger;
import org.wagtailpin.call.CallEnvironment;

/** What the connections of a listener share. */
final class ListenerContext {

  private final CallEnvironment environment;
  private final CallerLimits limits;
  private final RequestHeadReader heads;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger calls = new AtomicInteger();
  private volatile boolean draining;

  ListenerContext(CallEnvironment environment, CallerLimits limits, RequestHeadReader heads) {
    this.environment = environment;
    this.limits = limits;
    this.heads = heads;
  }

  CallEnvironment environment() {
    return environment;
  }

  CallerLimits limits() {
    return limits;
  }

  RequestHeadReader heads() {
    return heads;
  }

  ChannelGroup channels() {
    return channels;
  }

  AtomicInteger connections() {
    return connections;
  }

  AtomicInteger calls() {
    return calls;
  }

  boolean draining() {
    return draining;
  }

  void startDraining() {
    draining = true;
  }
}
