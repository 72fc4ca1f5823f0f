package org.wagtailpin.claims;

import java.util.ArrayList;
import java.util.List;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.control.ScheduledTask;

/**
 * Control loop of one process on a shared timeline. Tasks that become due while it is paused run
 * when it is resumed.
 */
final class PausableLoop implements ControlLoop {

  private final ControlLoop timeline;
  private final List<Runnable> deferred = new ArrayList<>();
  private boolean paused;
  private boolean stopped;

  PausableLoop(ControlLoop timeline) {
    this.timeline = timeline;
  }

  @Override
  public void execute(Runnable task) {
    schedule(0, task);
  }

  @Override
  public ScheduledTask schedule(long delayMillis, Runnable task) {
    return timeline.schedule(delayMillis, () -> run(task));
  }

  private void run(Runnable task) {
    if (paused) {
      deferred.add(task);
    } else if (!stopped) {
      task.run();
    }
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    deferred.forEach(timeline::execute);
    deferred.clear();
  }

  /** Simulates the end of the process: no task runs any more. */
  void stop() {
    stopped = true;
    deferred.clear();
  }
}
