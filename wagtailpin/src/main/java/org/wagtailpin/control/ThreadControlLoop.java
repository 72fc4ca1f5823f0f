package org.wagtailpin.control;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Control loop on a daemon thread of its own. An exception or error of a task is logged and does
 * not stop the loop.
 */
public final class ThreadControlLoop implements ControlLoop, AutoCloseable {

  private final ScheduledThreadPoolExecutor executor;

  /**
   * Starts the thread.
   *
   * @param name the thread's name
   */
  public ThreadControlLoop(String name) {
    executor =
        new ScheduledThreadPoolExecutor(
            1,
            runnable -> {
              Thread thread = new Thread(runnable, name);
              thread.setDaemon(true);
              return thread;
            },
            // Tasks submitted after close are dropped, since the control state is gone by then.
            new ThreadPoolExecutor.DiscardPolicy());
    executor.setRemoveOnCancelPolicy(true);
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  @Override
  public void execute(Runnable task) {
    executor.execute(loggingFailures(task));
  }

  @Override
  public ScheduledTask schedule(long delayMillis, Runnable task) {
    Future<?> future = executor.schedule(loggingFailures(task), delayMillis, TimeUnit.MILLISECONDS);
    return () -> future.cancel(false);
  }

  private static Runnable loggingFailures(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException | Error e) {
        Logger.error(e, "uncaught exception in a task of the control loop");
      }
    };
  }

  /** Stops the thread after the tasks that are due; does not wait for them. */
  @Override
  public void close() {
    executor.shutdown();
  }
}
