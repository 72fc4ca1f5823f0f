package org.wagtailpin.transport;

import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import java.util.LinkedHashMap;
import java.util.Map;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;

/**
 * Options by which TCP itself notices a peer that went silent, on idle connections and on those
 * that wait for an answer.
 */
public final class TcpKeepAlive {

  /** Silence after which a peer is probed, in seconds, the least that TCP knows. */
  private static final int IDLE_SECONDS = 1;

  /** Time between probes, in seconds. */
  private static final int PROBE_INTERVAL_SECONDS = 1;

  /** Unanswered probes after which the connection is given up. */
  private static final int MAX_UNANSWERED_PROBES = 2;

  /** Longest time that sent bytes may stay without acknowledgement, in milliseconds. */
  private static final int USER_TIMEOUT_MILLIS = 3_000;

  private TcpKeepAlive() {}

  /**
   * Adds the options to those of a client.
   *
   * @param client the client's options
   */
  public static void addTo(DefaultAsyncHttpClientConfig.Builder client) {
    options().forEach((option, value) -> add(client, option, value));
  }

  @SuppressWarnings("unchecked") // each option is stored with a value of its own type
  private static void add(
      DefaultAsyncHttpClientConfig.Builder client, ChannelOption<?> option, Object value) {
    client.addChannelOption((ChannelOption<Object>) option, value);
  }

  /** Returns the options; where the native transport is missing, only the switch. */
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
