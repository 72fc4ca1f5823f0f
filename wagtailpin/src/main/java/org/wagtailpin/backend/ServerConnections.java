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
  private final AtomicInteger open = new AtomicInteger();
  private final ConcurrentLinkedDeque<Channel> idle = new ConcurrentLinkedDeque<>();
  private volatile int cap;

  ServerConnections(String name) {
    this.name = name;
  }

  @Override
  public Object getPartitionKey(Uri uri, String virtualHost, ProxyServer proxy) {
    return this;
  }

  void limit(int connections) {
    cap = connections;
  }

  /**
   * Takes leave to open a connection.
   *
   * @throws IOException if as many are open as may be
   */
  void acquire() throws IOException {
    if (open.incrementAndGet() > cap) {
      open.decrementAndGet();
      throw new IOException("all " + cap + " connections to " + name + " are in use");
    }
  }

  void release() {
    open.decrementAndGet();
  }

  int open() {
    return open.get();
  }

  /**
   * Takes back a connection after an exchange.
   *
   * @return whether it is kept; if not, it is to be closed
   */
  boolean offer(Channel channel) {
    if (open.get() > cap || !ConnectionGate.of(channel).reusable()) {
      return false;
    }
    idle.addFirst(channel);
    return true;
  }

  /** Takes an idle connection, one on the current thread's loop if there is one; else null. */
  Channel poll() {
    for (Channel channel : idle) {
      if (channel.eventLoop().inEventLoop() && take(channel)) {
        return channel;
      }
    }
    for (Channel channel : idle) {
      if (take(channel)) {
        return channel;
      }
    }
    return null;
  }

  private boolean take(Channel channel) {
    return idle.removeFirstOccurrence(channel) && channel.isActive();
  }

  /** Closes the connections that their server may close soon. */
  void closeExpired(long nowMillis) {
    for (Channel channel : idle) {
      ConnectionGate gate = ConnectionGate.of(channel);
      if (nowMillis - gate.idleSinceMillis() >= gate.keptMillis() && remove(channel)) {
        channel.close();
      }
    }
  }

  boolean remove(Channel channel) {
    return idle.removeFirstOccurrence(channel);
  }

  /** Closes the connections that became idle at or before a time. */
  void closeIdleSince(long millis) {
    for (Channel channel : idle) {
      if (ConnectionGate.of(channel).idleSinceMillis() <= millis && remove(channel)) {
        channel.close();
      }
    }
  }
}
