package org.wagtailpin.entrypeer;

/**
 * Settings of {@link NettyPeerMessenger}.
 *
 * @param bindAddress the IP address to listen on
 * @param port the TCP port to listen on, 0 to have one picked
 * @param maxFrameBytes the greatest frame that is sent or read, in bytes, at least 1024
 * @param maxQueuedFrames the frames that wait for a connection to one peer at most, at least 1
 * @param connectTimeoutMillis how long a connection may take to open, in milliseconds, at least 1
 * @param minBackoffMillis the pause after a first failed connection, in milliseconds, at least 1
 * @param maxBackoffMillis the longest pause between connections, in milliseconds
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
   * Returns the default settings for an address.
   *
   * @param bindAddress the IP address to listen on
   * @param port the TCP port to listen on, 0 to have one picked
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
