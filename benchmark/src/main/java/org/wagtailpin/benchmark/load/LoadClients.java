package org.wagtailpin.benchmark.load;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;

/** Factory of HTTP clients for load generation: no retries, no redirects, bounded connections. */
public final class LoadClients {

  private LoadClients() {}

  /**
   * Creates a client.
   *
   * @param group the event loops of the client; the caller shuts them down
   * @param maxConnections maximum number of connections to one address, at least 1
   * @param timeoutMillis timeout of a call and of its reads, in milliseconds
   */
  public static AsyncHttpClient create(
      EventLoopGroup group, int maxConnections, int timeoutMillis) {
    AsyncHttpClientConfig config =
        new DefaultAsyncHttpClientConfig.Builder()
            .setEventLoopGroup(group)
            .setUseNativeTransport(false)
            // A limit over all addresses would let idle connections to one block calls to another.
            .setMaxConnections(-1)
            .setMaxConnectionsPerHost(maxConnections)
            // Waiting for a free connection would block the sender and make the load closed-loop.
            .setAcquireFreeChannelTimeout(0)
            .setRequestTimeout(Duration.ofMillis(timeoutMillis))
            .setReadTimeout(Duration.ofMillis(timeoutMillis))
            // With HTTP/2, a client at its connection limit sleeps in the sending thread; without
            // it, the call fails at once.
            .setHttp2Enabled(false)
            .setMaxRequestRetry(0)
            .setFollowRedirect(false)
            .setCookieStore(null)
            .setTcpNoDelay(true)
            .build();
    return Dsl.asyncHttpClient(config);
  }
}
