package org.wagtailpin.claims;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Carries on when a future completes, and logs what goes wrong then. */
final class Continuation {

  private Continuation() {}

  static <T> void attach(CompletableFuture<T> future, Consumer<T> callback) {
    CompletableFuture<Void> unused =
        future
            .thenAccept(callback)
            .exceptionally(
                failure -> {
                  Logger.error(failure, "claim step failed");
                  return null;
                });
  }
}
