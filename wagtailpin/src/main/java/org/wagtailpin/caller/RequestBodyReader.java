package org.wagtailpin.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.wagtailpin.backend.RequestBody;
import org.wagtailpin.backend.RequestFeed;
import org.wagtailpin.call.CallSettings;

/**
 * Receives the body of one request. A short body is buffered until it is complete; a longer one is
 * streamed to the backend server, with backpressure.
 *
 * <p>Confined to the event loop of the connection, except for the drain callback.
 */
final class RequestBodyReader {

  /** Reading resumes once the queue has drained to this fraction of its maximum length. */
  private static final int RESUME_DIVISOR = 2;

  private final CallSettings settings;
  private final long contentLength;
  private final Runnable onDrained;
  private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
  private Optional<RequestFeed> feed = Optional.empty();
  private long received;
  private volatile boolean awaitingDrain;

  /**
   * Creates a reader.
   *
   * @param settings the limits of buffered and queued bytes
   * @param contentLength the stated length in bytes, negative if none is stated
   * @param onDrained called on any thread when a stream that was full accepts more
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
   * Adds a part of the body.
   *
   * @param part the bytes; the caller keeps ownership
   * @return the streamed body if this part exceeded the buffer limit, otherwise empty
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
   * Marks the body as complete.
   *
   * @return the buffered body, empty if the body is streamed
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

  /** Returns whether more can be accepted now; if not, the drain callback is called later. */
  boolean acceptsMore() {
    if (feed.isEmpty() || feed.get().queuedBytes() < settings.maxFeedBytes()) {
      return true;
    }
    awaitingDrain = true;
    // Check again: bytes consumed before the flag was set did not trigger the callback.
    return feed.get().queuedBytes() < settings.maxFeedBytes() && clearAwaitingDrain();
  }

  private void onBytesConsumed() {
    boolean low =
        feed.isPresent() && feed.get().queuedBytes() <= settings.maxFeedBytes() / RESUME_DIVISOR;
    if (awaitingDrain && low) {
      onDrained.run();
    }
  }

  /** Clears the flag that reading waits for the stream to drain; returns whether it was set. */
  boolean clearAwaitingDrain() {
    boolean awaited = awaitingDrain;
    awaitingDrain = false;
    return awaited;
  }

  void abort() {
    feed.ifPresent(RequestFeed::abort);
  }
}
