package shelffront.lab.model;

/** The clock and scheduler of a model, in real or virtual time. Times are Unix microseconds. */
public interface Clock {

  long nowMicros();

  /**
   * Runs a task at {@code time}, or as soon as possible if that time has passed. Tasks run in the
   * order of their times; tasks with equal times run in the order of the calls.
   */
  void at(long time, Runnable task);

  /** Runs a task after {@code delay} microseconds. */
  default void after(long delay, Runnable task) {
    at(nowMicros() + delay, task);
  }
}
