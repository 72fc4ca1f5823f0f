package org.wagtailpin.transport;

import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import java.util.LinkedHashMap;
import java.util.Map;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;

/**
 * TCP keep-alive options, by which the operating system detects an unreachable peer on connections
 * that are idle or wait for an answer.
 */
public final class TcpKeepAlive {

  /** Idle time before the first probe, in seconds; 1 is the minimum of the socket option. */
  private static final int IDLE_SECONDS = 1;

  private static final int PROBE_INTERVAL_SECONDS = 1;

  /** Number of unanswered probes after which the connection is closed. */
  private static final int MAX_UNANSWERED_PROBES = 2;

  /** Maximum time for which sent data may remain unacknowledged, in milliseconds. */
  private static final int USER_TIMEOUT_MILLIS = 3_000;

  private TcpKeepAlive() {}

  /**
   * Adds the options to the configuration of a client.
   *
   * @param client the configuration of the client
   */
  public static void addTo(DefaultAsyncHttpClientConfig.Builder client) {
    options().forEach((option, value) -> add(client, option, value));
  }

  @SuppressWarnings("unchecked") // each option is stored with a value of its own type
  private static void add(
      DefaultAsyncHttpClientConfig.Builder client, ChannelOption<?> option, Object value) {
    client.addChannelOption((ChannelOption<Object>) option, value);
  }

  /** Returns the options. Without the native transport, only keep-alive itself can be enabled. */
  private static Map<ChannelOption<?>, Object> options() {
    Map<ChannelOption<?>, Object> options = new LinkedHashMap<>();
    options.put(ChannelOption.SO_KEEPALIVE, true);
    if (Epoll.isAvailable()) {
      options.put(EpollChannelOption.TCP_KEEPIDLE, IDLE_SECONDS);
      options.put(EpollChannelOption.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS);
      options.put(EpollChannelOption.TCP_KEEPCNT, MAX_UNANSWERED_PROBES);
      options.put(EpollChannelOption.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLIS);
    }
    return options;
  }
}
