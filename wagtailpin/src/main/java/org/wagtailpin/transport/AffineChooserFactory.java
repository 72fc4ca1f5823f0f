package org.wagtailpin.transport;

import io.netty.util.concurrent.DefaultEventExecutorChooserFactory;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.EventExecutorChooserFactory;

/**
 * Selects the event loop of the current thread if it belongs to the group, and otherwise the next
 * loop in round-robin order.
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
