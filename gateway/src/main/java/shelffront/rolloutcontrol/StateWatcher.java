package shelffront.rolloutcontrol;

import java.util.List;
import shelffront.coordination.CoordinationException;
import shelffront.rollout.LeaseTimings;

/**
 * Watches the rollout states in the coordination store, and has all subjects read again when one
 * changes. A failed or expired watch is restarted. The watch only reduces latency: lease renewals
 * read the states too. Threads: {@link #run} has a thread of its own.
 */
final class StateWatcher implements Runnable {

  private static final String ERROR_SOURCE = "state watch";

  private final List<LeaseManager> leaseManagers;
  private final LeadershipLoop leadership;
  private final LeaseTimings timings;
  private final RolloutStore store;
  private final WorkerThreads threads;
  private final ErrorReporter errors;

  /** Never given: a pause after a failure lasts its whole time. */
  private final WakeUpSignal noWakeUp = new WakeUpSignal();

  StateWatcher(
      List<LeaseManager> leaseManagers,
      LeadershipLoop leadership,
      LeaseTimings timings,
      RolloutStore store,
      WorkerThreads threads,
      ErrorReporter errors) {
    this.leaseManagers = leaseManagers;
    this.leadership = leadership;
    this.timings = timings;
    this.store = store;
    this.threads = threads;
    this.errors = errors;
  }

  @Override
  public void run() {
    long index = 0;
    while (!threads.isClosed()) {
      try {
        index = watch(index);
      } catch (CoordinationException e) {
        errors.report(ERROR_SOURCE, e);
        index = 0;
        pauseAfterFailure();
      }
    }
  }

  /** Waits for a change after an index and returns the index for the next watch. */
  private long watch(long lastIndex) throws CoordinationException {
    long index = store.awaitStateChange(lastIndex);
    errors.clear(ERROR_SOURCE);
    if (index < lastIndex) {
      index = 0; // the store was reset or restored from older data
    }
    if (index != lastIndex) {
      for (LeaseManager leaseManager : leaseManagers) {
        leaseManager.readStates();
        leaseManager.wake();
      }
      leadership.wake();
    }
    return index;
  }

  private void pauseAfterFailure() {
    threads.pause(noWakeUp, MonotonicClock.nowMicros() + timings.retryIntervalMicros());
  }
}
