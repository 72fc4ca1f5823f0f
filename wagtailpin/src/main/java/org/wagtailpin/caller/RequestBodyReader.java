package org.wagtailpin.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.wagtailpin.backend.RequestBody;
import org.wagtailpin.backend.RequestFeed;
import org.wagtailpin.call.CallSettings;

/**
 * Collector of one request's body: a short one is read whole, a longer one is streamed.
 *
 * <p>Confined to the event loop of the connection, but for the drain callback.
 */
final class RequestBodyReader {

  private static final int RESUME_DIVISOR = 2;

  private final CallSettings settings;
  private final long contentLength;
  private final Runnable onDrained;
  private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
  private Optional<RequestFeed> feed = Optional.empty();
  private long received;
  private volatile boolean awaitingDrain;

  /**
   * Creates a collector.
   *
   * @param settings the bounds
   * @param contentLength the stated length in bytes, negative if none is stated
   * @param onDrained called by any thread when a stream that was full takes more
   */
  RequestBodyReader(CallSettings settings, long contentLength, Runnable onDrained) {
    this.settings = settings;
    this.contentLength = contentLength;
    this.onDrained = onDrained;
  }

  long received() {
    return received;
  }

  boolean streaming() {
    return feed.isPresent();
  }

  /**
   * Takes a part.
   *
   * @param part the bytes, not owned
   * @return the body to go on with if this part made it a streamed one
   */
  Optional<RequestBody> add(ByteBuf part) {
    received += part.readableBytes();
    if (feed.isPresent()) {
      feed.get().feed(part.retain(), false);
      return Optional.empty();
    }
    byte[] bytes = new byte[part.readableBytes()];
    part.getBytes(part.readerIndex(), bytes);
    buffered.writeBytes(bytes);
    if (Math.max(received, contentLength) <= settings.maxBufferedBodyBytes()) {
      return Optional.empty();
    }
    return Optional.of(startStreaming());
  }

  private RequestBody startStreaming() {
    RequestFeed stream = new RequestFeed(contentLength, this::onBytesConsumed);
    stream.feed(Unpooled.wrappedBuffer(buffered.toByteArray()), false);
    buffered.reset();
    feed = Optional.of(stream);
    return new RequestBody.Streamed(stream);
  }

  /**
   * Ends the body.
   *
   * @return the body to go on with, unless it is a streamed one
   */
  Optional<RequestBody> finish() {
    if (feed.isPresent()) {
      feed.get().feed(Unpooled.EMPTY_BUFFER, true);
      return Optional.empty();
    }
    boolean none = received == 0 && contentLength < 0;
    return Optional.of(
        none ? new RequestBody.None() : new RequestBody.Buffered(buffered.toByteArray()));
  }

  /** Tells whether there is room for more; if not, the drain callback comes later. */
  boolean acceptsMore() {
    if (feed.isEmpty() || feed.get().queuedBytes() < settings.maxFeedBytes()) {
      return true;
    }
    awaitingDrain = true;
    // The bytes may have been taken before the flag was seen.
    return feed.get().queuedBytes() < settings.maxFeedBytes() && clearAwaitingDrain();
  }

  private void onBytesConsumed() {
    boolean low =
        feed.isPresent() && feed.get().queuedBytes() <= settings.maxFeedBytes() / RESUME_DIVISOR;
    if (awaitingDrain && low) {
      onDrained.run();
    }
  }

  /** Tells whether reading was held back, once. */
  boolean clearAwaitingDrain() {
    boolean awaited = awaitingDrain;
    awaitingDrain = false;
    return awaited;
  }

  void abort() {
    feed.ifPresent(RequestFeed::abort);
  }
}
