package org.wagtailpin.backend;

/** The body of a request to a backend server. */
public sealed interface RequestBody {

  /** Tells whether the body can be sent in another attempt. */
  boolean replayable();

  /** No body. */
  record None() implements RequestBody {
    @Override
    public boolean replayable() {
      return true;
    }
  }

  /**
   * A whole body.
   *
   * @param bytes the body
   */
  @SuppressWarnings("ArrayRecordComponent") // bodies are never compared
  record Buffered(byte[] bytes) implements RequestBody {
    @Override
    public boolean replayable() {
      return true;
    }
  }

  /**
   * A body that still arrives.
   *
   * @param feed its bytes
   */
  record Streamed(RequestFeed feed) implements RequestBody {
    @Override
    public boolean replayable() {
      return !feed.consumptionStarted();
    }
  }
}
