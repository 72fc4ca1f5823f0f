package org.wagtailpin.backend;

/** The body of a request to a backend server. */
public sealed interface RequestBody {

  /** Returns whether the complete body can be sent again in another attempt. */
  boolean replayable();

  /** No body. */
  record None() implements RequestBody {
    @Override
    public boolean replayable() {
      return true;
    }
  }

  /**
   * A body that was received completely before it is sent.
   *
   * @param bytes the body; must not be modified
   */
  @SuppressWarnings("ArrayRecordComponent") // bodies are never compared
  record Buffered(byte[] bytes) implements RequestBody {
    @Override
    public boolean replayable() {
      return true;
    }
  }

  /**
   * A body that is sent while it is still being received.
   *
   * @param feed the source of its bytes
   */
  record Streamed(RequestFeed feed) implements RequestBody {
    @Override
    public boolean replayable() {
      return !feed.consumptionStarted();
    }
  }
}
