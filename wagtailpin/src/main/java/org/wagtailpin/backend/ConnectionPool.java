package org.wagtailpin.backend;

import io.netty.channel.Channel;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.asynchttpclient.channel.ChannelPool;
import org.asynchttpclient.netty.channel.ConnectionSemaphore;
import org.wagtailpin.config.ConfigServer;

/**
 * Connection pool of all backend servers. AsyncHttpClient uses it as its channel pool and as the
 * semaphore that limits connections. Thread-safe.
 */
final class ConnectionPool implements ChannelPool, ConnectionSemaphore {

  private record Address(String address, int port) {}

  private final Map<Address, ServerConnections> servers = new ConcurrentHashMap<>();
  private volatile boolean open = true;

  ServerConnections of(ConfigServer server) {
    return servers.computeIfAbsent(
        new Address(server.address(), server.port()), key -> new ServerConnections(server.name()));
  }

  void closeIdleSince(long millis) {
    for (ServerConnections connections : servers.values()) {
      connections.closeIdleSince(millis);
    }
  }

  void closeExpired(long nowMillis) {
    for (ServerConnections connections : servers.values()) {
      connections.closeExpired(nowMillis);
    }
  }

  int openConnections() {
    return servers.values().stream().mapToInt(ServerConnections::openCount).sum();
  }

  long staleAnswers() {
    return servers.values().stream().mapToLong(ServerConnections::staleAnswers).sum();
  }

  private static ServerConnections serverOf(Object key) {
    return ((ConnectionChoice) key).server();
  }

  @Override
  public void acquireChannelLock(Object key) throws IOException {
    serverOf(key).acquire();
  }

  @Override
  public void releaseChannelLock(Object key) {
    serverOf(key).release();
  }

  @Override
  public boolean offer(Channel channel, Object key) {
    return open && serverOf(key).offer(channel);
  }

  @Override
  public Channel poll(Object key) {
    ConnectionChoice choice = (ConnectionChoice) key;
    return choice.server().poll(choice.excluded());
  }

  @Override
  public boolean removeAll(Channel channel) {
    BackendConnectionHandler handler = BackendConnectionHandler.of(channel);
    return handler != null
        && handler.connections() != null
        && handler.connections().remove(channel);
  }

  @Override
  public boolean isOpen() {
    return open;
  }

  @Override
  public void destroy() {
    open = false;
    closeIdleSince(Long.MAX_VALUE);
  }

  @Override
  public void flushPartitions(Predicate<Object> predicate) {
    for (ServerConnections connections : servers.values()) {
      if (predicate.test(new ConnectionChoice(connections, new SentConnections("")))) {
        connections.closeIdleSince(Long.MAX_VALUE);
      }
    }
  }

  @Override
  public Map<String, Long> getIdleChannelCountPerHost() {
    return new HashMap<>();
  }
}
