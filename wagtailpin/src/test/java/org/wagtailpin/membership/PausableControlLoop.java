package org.wagtailpin.membership;

import java.util.ArrayDeque;
import java.util.Queue;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.control.ScheduledTask;

/**
 * Control loop of one simulated process that can be paused, resumed and killed. Tasks that are due
 * during a pause run after it.
 */
public final class PausableControlLoop implements ControlLoop {

  private final ControlLoop base;
  private final Runnable afterEachTask;
  private final Queue<Runnable> heldTasks = new ArrayDeque<>();
  private boolean paused;
  private boolean killed;

  public PausableControlLoop(ControlLoop base, Runnable afterEachTask) {
    this.base = base;
    this.afterEachTask = afterEachTask;
  }

  public void pause() {
    paused = true;
  }

  public void resume() {
    paused = false;
    while (!heldTasks.isEmpty()) {
      base.execute(heldTasks.remove());
    }
  }

  public void kill() {
    killed = true;
    heldTasks.clear();
  }

  public boolean paused() {
    return paused;
  }

  public boolean killed() {
    return killed;
  }

  @Override
  public void execute(Runnable task) {
    base.execute(() -> run(task));
  }

  @Override
  public ScheduledTask schedule(long delayMillis, Runnable task) {
    return base.schedule(delayMillis, () -> run(task));
  }

  private void run(Runnable task) {
    if (killed) {
      return;
    }
    if (paused) {
      heldTasks.add(() -> run(task));
      return;
    }
    task.run();
    afterEachTask.run();
  }
}
