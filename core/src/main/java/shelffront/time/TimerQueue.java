package shelffront.time;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;

/**
 * Multiplexes many timers onto a single wake-up timer of the caller. Times are microseconds; the
 * caller passes in the current time.
 *
 * <p>Invariants: tasks run in the order of their times; tasks with the same time run in the order
 * in which they were scheduled. While tasks are scheduled, the wake-up is set to the time of the
 * first task or earlier. Not thread-safe; a task may schedule other tasks.
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
   * Creates an empty queue.
   *
   * @param alarm sets the wake-up timer; called with each time that is earlier than all times
   *     passed since the last {@link #runDue}
   */
  public TimerQueue(LongConsumer alarm) {
    this.alarm = alarm;
  }

  /** Schedules a task; {@link #removeCancelled} drops it once {@code wanted} returns false. */
  public void schedule(long atMicros, BooleanSupplier wanted, Runnable task) {
    timers.add(new Timer(atMicros, nextSequence++, wanted, task));
    setAlarm();
  }

  /**
   * Runs the tasks that are due. To be called at the wake-up time; a call at any other time is
   * allowed.
   */
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

  /** Drops the timers of tasks that are no longer wanted, in time proportional to {@link #size}. */
  public void removeCancelled() {
    timers.removeIf(timer -> !timer.wanted().getAsBoolean());
  }

  /** Number of timers that have not run, including those of tasks that are no longer wanted. */
  public int size() {
    return timers.size();
  }
}
