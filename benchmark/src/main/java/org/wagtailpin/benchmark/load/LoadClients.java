package org.wagtailpin.benchmark.load;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;

/** Factory of the HTTP clients that send load: no retries, no redirects, a bounded pool. */
public final class LoadClients {

  private LoadClients() {}

  /**
   * Creates a client.
   *
   * @param group the event loops it runs on, closed by their owner
   * @param maxConnections greatest number of connections to one address, at least 1
   * @param timeoutMillis how long a call may take, in milliseconds
   */
  public static AsyncHttpClient create(
      EventLoopGroup group, int maxConnections, int timeoutMillis) {
    AsyncHttpClientConfig config =
        new DefaultAsyncHttpClientConfig.Builder()
            .setEventLoopGroup(group)
            .setUseNativeTransport(false)
            // A bound over all addresses would let idle connections to one starve another.
            .setMaxConnections(-1)
            .setMaxConnectionsPerHost(maxConnections)
            // Waiting for a connection would stop the sender, and the loop would not be open.
            .setAcquireFreeChannelTimeout(0)
            .setRequestTimeout(Duration.ofMillis(timeoutMillis))
            .setReadTimeout(Duration.ofMillis(timeoutMillis))
            // Without HTTP/2 a client at its bound fails at once and does not sleep in the sender.
            .setHttp2Enabled(false)
            .setMaxRequestRetry(0)
            .setFollowRedirect(false)
            .setCookieStore(null)
            .setTcpNoDelay(true)
            .build();
    return Dsl.asyncHttpClient(config);
  }
}
