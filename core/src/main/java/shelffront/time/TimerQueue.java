package shelffront.time;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;

/**
 * Many timers on a single alarm that somebody else keeps. Times are microseconds; the caller passes
 * the present in.
 *
 * <p>Invariants: tasks run in the order of their times and, at the same time, in the order in which
 * they were scheduled; while there are any, the alarm is set for the first or earlier. Not safe for
 * use by several threads; a task may schedule others.
 */
public final class TimerQueue {

  private record Timer(long atMicros, long sequence, BooleanSupplier wanted, Runnable task) {}

  private final LongConsumer alarm;
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          Comparator.comparingLong(Timer::atMicros).thenComparingLong(Timer::sequence));
  private long nextSequence;
  private long alarmAtMicros = Long.MAX_VALUE;

  /**
   * The alarm is told each time that is earlier than those it was told since the last {@link
   * #runDue}.
   */
  public TimerQueue(LongConsumer alarm) {
    this.alarm = alarm;
  }

  /** Runs the task at a time; {@link #removeCancelled} drops it once it is no longer wanted. */
  public void schedule(long atMicros, BooleanSupplier wanted, Runnable task) {
    timers.add(new Timer(atMicros, nextSequence++, wanted, task));
    setAlarm();
  }

  /** Runs what is due; to be called when the alarm goes off, and harmless at other times. */
  public void runDue(long nowMicros) {
    if (nowMicros >= alarmAtMicros) {
      alarmAtMicros = Long.MAX_VALUE;
    }
    while (!timers.isEmpty() && timers.peek().atMicros() <= nowMicros) {
      timers.poll().task().run();
    }
    setAlarm();
  }

  private void setAlarm() {
    if (!timers.isEmpty() && timers.peek().atMicros() < alarmAtMicros) {
      alarmAtMicros = timers.peek().atMicros();
      alarm.accept(alarmAtMicros);
    }
  }

  /** Drops timers that nobody wants any more; takes time in proportion to {@link #size}. */
  public void removeCancelled() {
    timers.removeIf(timer -> !timer.wanted().getAsBoolean());
  }

  /** Number of timers that have not run, those no longer wanted included. */
  public int size() {
    return timers.size();
  }
}
