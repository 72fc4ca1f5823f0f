package org.wagtailpin.membership;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.wagtailpin.control.ControlLoop;

/** Passes results of futures, which may complete on any thread, to the control loop. */
final class LoopCallbacks {

  private LoopCallbacks() {}

  static <T> void onLoop(ControlLoop loop, CompletableFuture<T> future, Consumer<T> callback) {
    var unused = future.thenAccept(result -> loop.execute(() -> callback.accept(result)));
  }
}
