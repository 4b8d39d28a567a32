package shelffront.lab.model;

/** The time that a model lives in, real or virtual: Unix microseconds. */
public interface Clock {

  long nowMicros();

  /**
   * Runs a task at a time, or as soon as it can where that has passed; in the order of times, then
   * of calls.
   */
  void at(long time, Runnable task);

  default void after(long delay, Runnable task) {
    at(nowMicros() + delay, task);
  }
}
