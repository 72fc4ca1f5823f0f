package org.wagtailpin.membership;

import java.util.ArrayDeque;
import java.util.Queue;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.control.Scheduled;

/** Control loop of one simulated process, which can be paused, continued and killed. */
final class EntryLoop implements ControlLoop {

  private final ControlLoop base;
  private final Runnable afterEachTask;
  private final Queue<Runnable> held = new ArrayDeque<>();
  private boolean paused;
  private boolean dead;

  EntryLoop(ControlLoop base, Runnable afterEachTask) {
    this.base = base;
    this.afterEachTask = afterEachTask;
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    while (!held.isEmpty()) {
      base.execute(held.remove());
    }
  }

  void kill() {
    dead = true;
    held.clear();
  }

  boolean paused() {
    return paused;
  }

  boolean dead() {
    return dead;
  }

  @Override
  public void execute(Runnable task) {
    base.execute(() -> run(task));
  }

  @Override
  public Scheduled schedule(long delayMillis, Runnable task) {
    return base.schedule(delayMillis, () -> run(task));
  }

  private void run(Runnable task) {
    if (dead) {
      return;
    }
    if (paused) {
      held.add(() -> run(task));
      return;
    }
    task.run();
    afterEachTask.run();
  }
}
