package shelffront.rolloutcontrol;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import shelffront.net.EventLog;

/**
 * The threads of one coordinator. Invariant: after {@link #close}, {@link #pause} returns
 * immediately, so every loop ends at its next iteration.
 */
final class WorkerThreads implements AutoCloseable {

  private static final long MIN_PAUSE_MILLIS = 20;
  private static final long MICROS_PER_MILLI = 1000;
  private static final long JOIN_SECONDS = 2;

  private final EventLog log;
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean closed;

  WorkerThreads(EventLog log) {
    this.log = log;
  }

  /** Starts a daemon thread. A {@link RuntimeException} ends it and is logged. */
  void start(String name, Runnable task) {
    Thread thread = new Thread(() -> runLogged(name, task), name);
    thread.setDaemon(true);
    threads.add(thread);
    thread.start();
  }

  private void runLogged(String name, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      log.println(
          "thread " + name + " ended by an exception; leases that it renewed will expire: " + e);
    }
  }

  boolean isClosed() {
    return closed;
  }

  /** Waits until the time or a signal; returns at once if the signal was given before. */
  void pause(WakeUpSignal signal, long untilMicros) {
    long leftMicros = untilMicros - MonotonicClock.nowMicros();
    try {
      if (!closed) {
        signal.await(Math.max(MIN_PAUSE_MILLIS, leftMicros / MICROS_PER_MILLI));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      closed = true;
    }
  }

  /** Interrupts the threads and waits a bounded time for each to end. */
  @Override
  public void close() {
    closed = true;
    threads.forEach(Thread::interrupt);
    for (Thread thread : threads) {
      try {
        thread.join(TimeUnit.SECONDS.toMillis(JOIN_SECONDS));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
