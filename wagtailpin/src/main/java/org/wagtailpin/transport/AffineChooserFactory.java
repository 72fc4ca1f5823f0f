package org.wagtailpin.transport;

import io.netty.util.concurrent.DefaultEventExecutorChooserFactory;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.EventExecutorChooserFactory;

/**
 * Choice of an event loop that stays on the current thread where that is one of the loops, and goes
 * round all loops elsewhere.
 */
final class AffineChooserFactory implements EventExecutorChooserFactory {

  @Override
  public EventExecutorChooser newChooser(EventExecutor[] executors) {
    EventExecutorChooser rotation =
        DefaultEventExecutorChooserFactory.INSTANCE.newChooser(executors);
    return () -> {
      for (EventExecutor executor : executors) {
        if (executor.inEventLoop()) {
          return executor;
        }
      }
      return rotation.next();
    };
  }
}
