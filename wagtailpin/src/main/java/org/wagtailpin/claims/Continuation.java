package org.wagtailpin.claims;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Carries on when a future completes, and logs what goes wrong then. */
final class Continuation {

  private Continuation() {}

  static <T> void of(CompletableFuture<T> future, Consumer<T> then) {
    CompletableFuture<Void> unused =
        future
            .thenAccept(then)
            .exceptionally(
                failure -> {
                  Logger.error(failure, "claim step failed");
                  return null;
                });
  }
}
