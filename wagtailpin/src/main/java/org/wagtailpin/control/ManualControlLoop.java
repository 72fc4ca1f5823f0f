package org.wagtailpin.control;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.wagtailpin.clock.ManualClock;

/**
 * Control loop in simulated time: tasks run only while the time is advanced, ordered by due time
 * and then by submission. Not thread-safe.
 */
public final class ManualControlLoop implements ControlLoop {

  private static final class Task implements ScheduledTask {
    private final long dueMillis;
    private final long sequence;
    private final Runnable body;
    private boolean cancelled;

    Task(long dueMillis, long sequence, Runnable body) {
      this.dueMillis = dueMillis;
      this.sequence = sequence;
      this.body = body;
    }

    long dueMillis() {
      return dueMillis;
    }

    long sequence() {
      return sequence;
    }

    @Override
    public void cancel() {
      cancelled = true;
    }
  }

  private final ManualClock clock;
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::dueMillis).thenComparing(Task::sequence));
  private long nextSequence;

  /**
   * Creates a loop without tasks.
   *
   * @param clock the clock that {@link #advance} moves
   */
  public ManualControlLoop(ManualClock clock) {
    this.clock = clock;
  }

  @Override
  public void execute(Runnable task) {
    schedule(0, task);
  }

  @Override
  public ScheduledTask schedule(long delayMillis, Runnable body) {
    Task task = new Task(clock.millis() + Math.max(0, delayMillis), nextSequence++, body);
    tasks.add(task);
    return task;
  }

  /** Runs the tasks that are due now, including those that they submit without delay. */
  public void runDue() {
    advance(0);
  }

  /**
   * Advances the time and runs each task at its due time.
   *
   * @param millis by how much, in milliseconds, at least 0
   */
  public void advance(long millis) {
    long end = clock.millis() + millis;
    while (!tasks.isEmpty() && tasks.peek().dueMillis <= end) {
      Task task = tasks.poll();
      clock.advance(Math.max(0, task.dueMillis - clock.millis()));
      if (!task.cancelled) {
        task.body.run();
      }
    }
    clock.advance(Math.max(0, end - clock.millis()));
  }
}
