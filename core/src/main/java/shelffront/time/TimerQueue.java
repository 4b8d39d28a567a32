package shelffront.time;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;

/**
 * Many timers on a single one that somebody else keeps: tasks by time, run in the order of their
 * times and, at the same time, in the order in which they were set. Times are microseconds; the
 * caller passes the present in.
 */
public final class TimerQueue {

  private record Timer(long at, long order, BooleanSupplier wanted, Runnable task) {}

  private final LongConsumer alarm;
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::at).thenComparingLong(Timer::order));
  private long nextOrder;
  private long alarmAt = Long.MAX_VALUE;

  /**
   * The alarm is told each time that is earlier than those it was told since the last {@link
   * #runDue}.
   */
  public TimerQueue(LongConsumer alarm) {
    this.alarm = alarm;
  }

  /** Runs the task at a time; {@link #removeCancelled} drops it once it is no longer wanted. */
  public void schedule(long when, BooleanSupplier wanted, Runnable task) {
    timers.add(new Timer(when, nextOrder++, wanted, task));
    arm();
  }

  /** Runs what is due; to be called when the alarm goes off, and harmless at other times. */
  public void runDue(long now) {
    if (now >= alarmAt) {
      alarmAt = Long.MAX_VALUE;
    }
    while (!timers.isEmpty() && timers.peek().at() <= now) {
      timers.poll().task().run();
    }
    arm();
  }

  private void arm() {
    if (!timers.isEmpty() && timers.peek().at() < alarmAt) {
      alarmAt = timers.peek().at();
      alarm.accept(alarmAt);
    }
  }

  /** Drops timers that nobody wants any more; takes time in proportion to {@link #size}. */
  public void removeCancelled() {
    timers.removeIf(t -> !t.wanted().getAsBoolean());
  }

  public int size() {
    return timers.size();
  }
}
