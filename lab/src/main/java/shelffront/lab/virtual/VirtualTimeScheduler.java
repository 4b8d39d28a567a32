package shelffront.lab.virtual;

import shelffront.lab.model.Clock;
import shelffront.lab.transport.TaskScheduler;

/**
 * Virtual time: events by their times and, at the same time, in the order in which they were set.
 * One thread.
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

  /** When the next event is due; {@link Long#MAX_VALUE} if there is none. */
  public long nextMicros() {
    return tasks.nextMicros();
  }

  /** Lets time pass; never back, and not past an event. */
  public void advanceTo(long timeMicros) {
    nowMicros = Math.max(nowMicros, Math.min(timeMicros, nextMicros()));
  }

  /** Runs the next event if it is due. */
  public boolean runNext() {
    if (nextMicros() > nowMicros) {
      return false;
    }
    tasks.poll().run();
    return true;
  }

  /** Events that have been set so far: a measure of a run's size. */
  public long scheduledCount() {
    return tasks.scheduledCount();
  }
}
