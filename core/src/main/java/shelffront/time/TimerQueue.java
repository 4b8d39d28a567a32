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

  private record Timer(long atMicros, long sequence, BooleanSupplier isActive, Runnable task) {}

  private final LongConsumer wakeUpTimer;
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          Comparator.comparingLong(Timer::atMicros).thenComparingLong(Timer::sequence));
  private long nextSequence;
  private long wakeUpAtMicros = Long.MAX_VALUE;

  /**
   * Creates an empty queue.
   *
   * @param wakeUpTimer sets the wake-up timer; called with each time that is earlier than all times
   *     passed since the last {@link #runDue}
   */
  public TimerQueue(LongConsumer wakeUpTimer) {
    this.wakeUpTimer = wakeUpTimer;
  }

  /** Schedules a task; {@link #removeCancelled} drops it once {@code isActive} returns false. */
  public void schedule(long atMicros, BooleanSupplier isActive, Runnable task) {
    timers.add(new Timer(atMicros, nextSequence++, isActive, task));
    updateWakeUp();
  }

  /**
   * Runs the tasks that are due. To be called at the wake-up time; a call at any other time is
   * allowed.
   */
  public void runDue(long nowMicros) {
    if (nowMicros >= wakeUpAtMicros) {
      wakeUpAtMicros = Long.MAX_VALUE;
    }
    while (!timers.isEmpty() && timers.peek().atMicros() <= nowMicros) {
      timers.poll().task().run();
    }
    updateWakeUp();
  }

  private void updateWakeUp() {
    if (!timers.isEmpty() && timers.peek().atMicros() < wakeUpAtMicros) {
      wakeUpAtMicros = timers.peek().atMicros();
      wakeUpTimer.accept(wakeUpAtMicros);
    }
  }

  /** Drops the timers of tasks that are no longer active, in time proportional to {@link #size}. */
  public void removeCancelled() {
    timers.removeIf(timer -> !timer.isActive().getAsBoolean());
  }

  /** Number of timers that have not run, including those of tasks that are no longer active. */
  public int size() {
    return timers.size();
  }
}
