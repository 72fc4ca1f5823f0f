package org.wagtailpin.json;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Runs code on a thread whose stack is smaller than those of a deployed entry. */
public final class SmallStack {

  /** Half of the smallest stack of an entry's threads, in bytes. */
  private static final long STACK_BYTES = 256 * 1_024;

  private SmallStack() {}

  /**
   * Runs code and returns its result.
   *
   * @throws java.util.concurrent.CompletionException if the code throws an exception or error
   */
  public static <T> T call(Supplier<T> code) {
    return CompletableFuture.supplyAsync(
            code, task -> new Thread(null, task, "small stack", STACK_BYTES).start())
        .join();
  }
}
