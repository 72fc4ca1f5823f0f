package org.wagtailpin.backend;

import io.netty.channel.Channel;
import java.io.IOException;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import org.asynchttpclient.channel.ChannelPoolPartitioning;
import org.asynchttpclient.proxy.ProxyServer;
import org.asynchttpclient.uri.Uri;

/**
 * The connections to one backend server: how many are open, and which are idle.
 *
 * <p>It is its own key in AsyncHttpClient's pool. Safe for use by all traffic threads.
 */
final class ServerConnections implements ChannelPoolPartitioning {

  private final String name;
  private final AtomicInteger openCount = new AtomicInteger();
  private final ConcurrentLinkedDeque<Channel> idleChannels = new ConcurrentLinkedDeque<>();
  private volatile int maxOpen;

  ServerConnections(String name) {
    this.name = name;
  }

  @Override
  public Object getPartitionKey(Uri uri, String virtualHost, ProxyServer proxy) {
    return this;
  }

  void setMaxOpen(int connections) {
    maxOpen = connections;
  }

  /**
   * Takes leave to open a connection.
   *
   * @throws IOException if as many are open as may be
   */
  void acquire() throws IOException {
    if (openCount.incrementAndGet() > maxOpen) {
      openCount.decrementAndGet();
      throw new IOException("all " + maxOpen + " connections to " + name + " are in use");
    }
  }

  void release() {
    openCount.decrementAndGet();
  }

  int openCount() {
    return openCount.get();
  }

  /**
   * Takes back a connection after an exchange.
   *
   * @return whether it is kept; if not, it is to be closed
   */
  boolean offer(Channel channel) {
    if (openCount.get() > maxOpen || !BackendConnectionHandler.of(channel).reusable()) {
      return false;
    }
    idleChannels.addFirst(channel);
    return true;
  }

  /** Takes an idle connection, one on the current thread's loop if there is one; else null. */
  Channel poll() {
    for (Channel channel : idleChannels) {
      if (channel.eventLoop().inEventLoop() && removeAndCheckActive(channel)) {
        return channel;
      }
    }
    for (Channel channel : idleChannels) {
      if (removeAndCheckActive(channel)) {
        return channel;
      }
    }
    return null;
  }

  private boolean removeAndCheckActive(Channel channel) {
    return idleChannels.removeFirstOccurrence(channel) && channel.isActive();
  }

  /** Closes the connections that their server may close soon. */
  void closeExpired(long nowMillis) {
    for (Channel channel : idleChannels) {
      BackendConnectionHandler handler = BackendConnectionHandler.of(channel);
      if (nowMillis - handler.idleSinceMillis() >= handler.maxIdleMillis() && remove(channel)) {
        channel.close();
      }
    }
  }

  boolean remove(Channel channel) {
    return idleChannels.removeFirstOccurrence(channel);
  }

  /** Closes the connections that became idle at or before a time. */
  void closeIdleSince(long millis) {
    for (Channel channel : idleChannels) {
      if (BackendConnectionHandler.of(channel).idleSinceMillis() <= millis && remove(channel)) {
        channel.close();
      }
    }
  }
}
