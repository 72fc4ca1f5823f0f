package org.wagtailpin.claims;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Attaches callbacks to futures and logs failures of the future or of the callback. */
final class Continuation {

  private Continuation() {}

  static <T> void attach(CompletableFuture<T> future, Consumer<T> callback) {
    CompletableFuture<Void> unused =
        future
            .thenAccept(callback)
            .exceptionally(
                failure -> {
                  Logger.error(failure, "claim callback failed");
                  return null;
                });
  }
}
