package org.wagtailpin.backend;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.asynchttpclient.request.body.Body;
import org.asynchttpclient.request.body.generator.FeedListener;
import org.asynchttpclient.request.body.generator.FeedableBodyGenerator;

/**
 * Request body that is streamed to a backend server while it arrives.
 *
 * <p>One thread feeds it, and the event loop of the backend connection consumes it. For
 * backpressure the producer pauses while {@link #queuedBytes()} is high, and is notified when bytes
 * were consumed.
 */
public final class RequestFeed implements FeedableBodyGenerator, Body {

  private final long contentLength;
  private final Runnable onConsumed;
  private final Queue<ByteBuf> parts = new ConcurrentLinkedQueue<>();
  private final AtomicInteger queuedBytes = new AtomicInteger();
  private volatile boolean ended;
  private volatile boolean aborted;
  private volatile boolean consumptionStarted;
  private volatile FeedListener listener;
  private ByteBuf current;

  /**
   * Creates an empty body.
   *
   * @param contentLength the length in bytes, negative if it is not known
   * @param onConsumed called on the event loop of the backend connection when bytes were consumed
   */
  public RequestFeed(long contentLength, Runnable onConsumed) {
    this.contentLength = contentLength;
    this.onConsumed = onConsumed;
  }

  /** Returns the number of bytes that are queued for the backend connection. */
  public int queuedBytes() {
    return queuedBytes.get();
  }

  /** Returns whether a connection has started to consume the body; it cannot be sent again then. */
  public boolean consumptionStarted() {
    return consumptionStarted;
  }

  @Override
  public boolean feed(ByteBuf part, boolean isLast) {
    if (aborted) {
      part.release();
      return false;
    }
    queuedBytes.addAndGet(part.readableBytes());
    parts.add(part);
    ended = ended || isLast;
    FeedListener waiting = listener;
    if (waiting != null) {
      waiting.onContentAdded();
    }
    return true;
  }

  /**
   * Aborts the body before its end and releases the queued bytes. Reading it fails from then on.
   */
  public void abort() {
    aborted = true;
    ByteBuf part = parts.poll();
    while (part != null) {
      part.release();
      part = parts.poll();
    }
  }

  @Override
  public void setListener(FeedListener listener) {
    this.listener = listener;
  }

  @Override
  public Body createBody() {
    return this;
  }

  @Override
  public long getContentLength() {
    return contentLength;
  }

  @Override
  public BodyState transferTo(ByteBuf target) throws IOException {
    consumptionStarted = true;
    boolean last = ended;
    int moved = 0;
    while (target.writableBytes() > 0 && nextPart()) {
      int bytes = Math.min(target.writableBytes(), current.readableBytes());
      target.writeBytes(current, bytes);
      moved += bytes;
    }
    if (aborted) {
      throw new IOException("the caller's request body broke off");
    }
    if (moved > 0) {
      queuedBytes.addAndGet(-moved);
      onConsumed.run();
      return BodyState.CONTINUE;
    }
    return last ? BodyState.STOP : BodyState.SUSPEND;
  }

  private boolean nextPart() {
    while (current == null || !current.isReadable()) {
      close();
      current = parts.poll();
      if (current == null) {
        return false;
      }
    }
    return true;
  }

  @Override
  public void close() {
    if (current != null) {
      current.release();
      current = null;
    }
  }
}
