package shelffront.lab.virtual;

import shelffront.lab.model.Clock;
import shelffront.lab.transport.TaskScheduler;

/**
 * Clock in virtual time. Tasks run in the order of their due times and, if these are equal, in the
 * order in which they were added. Not thread-safe.
 */
public final class VirtualTimeScheduler implements Clock {

  private final TaskScheduler tasks = new TaskScheduler();
  private long nowMicros;

  public VirtualTimeScheduler(long start) {
    nowMicros = start;
  }

  @Override
  public long nowMicros() {
    return nowMicros;
  }

  @Override
  public void at(long time, Runnable task) {
    tasks.add(Math.max(nowMicros, time), task);
  }

  /** Returns when the next task is due, or {@link Long#MAX_VALUE} if there is none. */
  public long nextMicros() {
    return tasks.nextMicros();
  }

  /** Advances the time, but never backwards and never past the next due task. */
  public void advanceTo(long timeMicros) {
    nowMicros = Math.max(nowMicros, Math.min(timeMicros, nextMicros()));
  }

  /** Runs the next task if it is due and returns whether it was. */
  public boolean runNext() {
    if (nextMicros() > nowMicros) {
      return false;
    }
    tasks.poll().run();
    return true;
  }

  /** Returns the number of tasks added so far, a measure of the size of a run. */
  public long scheduledCount() {
    return tasks.scheduledCount();
  }
}
