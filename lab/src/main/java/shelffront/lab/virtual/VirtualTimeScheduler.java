package shelffront.lab.virtual;

import shelffront.lab.model.Clock;
import shelffront.lab.transport.TaskScheduler;

/**
 * Virtual time: events by their times and, at the same time, in the order in which they were set.
 * One thread.
 */
public final class VirtualTimeScheduler implements Clock {

  private final TaskScheduler events = new TaskScheduler();
  private long now;

  public VirtualTimeScheduler(long start) {
    now = start;
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public void at(long time, Runnable task) {
    events.add(Math.max(now, time), task);
  }

  /** When the next event is due; {@link Long#MAX_VALUE} if there is none. */
  public long next() {
    return events.next();
  }

  /** Lets time pass; never back, and not past an event. */
  public void advance(long to) {
    now = Math.max(now, Math.min(to, next()));
  }

  /** Runs the next event if it is due. */
  public boolean step() {
    if (next() > now) {
      return false;
    }
    events.poll().run();
    return true;
  }

  /** Events that have been set so far: a measure of a run's size. */
  public long count() {
    return events.count();
  }
}
