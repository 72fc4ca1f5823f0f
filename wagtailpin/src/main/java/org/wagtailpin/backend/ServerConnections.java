package org.wagtailpin.backend;

import io.netty.channel.Channel;
import java.io.IOException;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** The connections to one backend server: how many are open, and which are idle. Thread-safe. */
final class ServerConnections {

  private final String name;
  private final AtomicInteger openCount = new AtomicInteger();
  private final ConcurrentLinkedDeque<Channel> idleChannels = new ConcurrentLinkedDeque<>();
  private final LongAdder staleAnswers = new LongAdder();
  private volatile int maxOpen;

  ServerConnections(String name) {
    this.name = name;
  }

  String name() {
    return name;
  }

  void setMaxOpen(int connections) {
    maxOpen = connections;
  }

  /**
   * Acquires a permit to open a connection.
   *
   * @throws IOException if the maximum number of connections is open
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
   * Returns a connection to the pool after an exchange.
   *
   * @return whether the connection is kept; if not, the caller must close it
   */
  boolean offer(Channel channel) {
    if (openCount.get() > maxOpen || !BackendConnectionHandler.of(channel).reusable()) {
      return false;
    }
    idleChannels.addFirst(channel);
    return true;
  }

  /**
   * Removes and returns an idle connection, preferably one on the current thread's event loop.
   *
   * @param excluded connections that are left in the pool
   * @return the connection, or null if no other one is idle
   */
  Channel poll(SentConnections excluded) {
    for (Channel channel : idleChannels) {
      if (channel.eventLoop().inEventLoop()
          && !excluded.contains(channel)
          && removeAndCheckActive(channel)) {
        return channel;
      }
    }
    for (Channel channel : idleChannels) {
      if (!excluded.contains(channel) && removeAndCheckActive(channel)) {
        return channel;
      }
    }
    return null;
  }

  private boolean removeAndCheckActive(Channel channel) {
    return idleChannels.removeFirstOccurrence(channel) && channel.isActive();
  }

  /** Closes the connections that have been idle for the time allowed by their Keep-Alive header. */
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

  void countStaleAnswer() {
    staleAnswers.increment();
  }

  /** Returns how many answers were discarded because they belonged to an earlier request. */
  long staleAnswers() {
    return staleAnswers.sum();
  }

  /** Closes the connections that have been idle since the given time or longer. */
  void closeIdleSince(long millis) {
    for (Channel channel : idleChannels) {
      if (BackendConnectionHandler.of(channel).idleSinceMillis() <= millis && remove(channel)) {
        channel.close();
      }
    }
  }
}
