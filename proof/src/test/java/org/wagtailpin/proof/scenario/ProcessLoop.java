package org.wagtailpin.proof.scenario;

import java.util.ArrayList;
import java.util.List;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.control.ScheduledTask;

/**
 * Control loop of one simulated process on the shared timeline.
 *
 * <p>Tasks that fall due while the process is paused run after it resumes. Those of a killed
 * process never run.
 */
final class ProcessLoop implements ControlLoop {

  private final ControlLoop timeline;
  private final List<Runnable> deferredTasks = new ArrayList<>();
  private boolean paused;
  private boolean killed;

  ProcessLoop(ControlLoop timeline) {
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
    if (killed) {
      return;
    }
    if (paused) {
      deferredTasks.add(task);
    } else {
      task.run();
    }
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    deferredTasks.forEach(timeline::execute);
    deferredTasks.clear();
  }

  void kill() {
    killed = true;
  }
}
