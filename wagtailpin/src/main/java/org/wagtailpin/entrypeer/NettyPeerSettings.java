package org.wagtailpin.entrypeer;

/**
 * Settings of {@link NettyPeerMessenger}.
 *
 * @param bindAddress the IP address to listen on
 * @param port the TCP port to listen on, 0 for any free port
 * @param maxFrameBytes the maximum size of a frame that is sent or received, in bytes, at least
 *     1024
 * @param maxQueuedFrames the maximum number of frames queued while a connection to one peer is
 *     being opened, at least 1
 * @param connectTimeoutMillis the timeout for opening a connection, in milliseconds, at least 1
 * @param minBackoffMillis the backoff after the first failed connection attempt, in milliseconds,
 *     at least 1
 * @param maxBackoffMillis the maximum backoff between connection attempts, in milliseconds
 */
public record NettyPeerSettings(
    String bindAddress,
    int port,
    int maxFrameBytes,
    int maxQueuedFrames,
    int connectTimeoutMillis,
    long minBackoffMillis,
    long maxBackoffMillis) {

  private static final int DEFAULT_MAX_FRAME_BYTES = 4 * 1024 * 1024;
  private static final int DEFAULT_MAX_QUEUED_FRAMES = 1024;
  private static final int DEFAULT_CONNECT_TIMEOUT_MILLIS = 1000;
  private static final long DEFAULT_MIN_BACKOFF_MILLIS = 100;
  private static final long DEFAULT_MAX_BACKOFF_MILLIS = 2000;

  /**
   * Returns the settings with the default limits and timeouts.
   *
   * @param bindAddress the IP address to listen on
   * @param port the TCP port to listen on, 0 for any free port
   */
  public static NettyPeerSettings defaults(String bindAddress, int port) {
    return new NettyPeerSettings(
        bindAddress,
        port,
        DEFAULT_MAX_FRAME_BYTES,
        DEFAULT_MAX_QUEUED_FRAMES,
        DEFAULT_CONNECT_TIMEOUT_MILLIS,
        DEFAULT_MIN_BACKOFF_MILLIS,
        DEFAULT_MAX_BACKOFF_MILLIS);
  }
}
