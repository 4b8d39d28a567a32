package shelffront.controlplane;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import shelffront.controlplane.ChangeStore.Head;
import shelffront.controlplane.DistributionException.EngineSteppedBack;
import shelffront.coordination.CoordinationException;
import shelffront.coordination.OperatorException;
import shelffront.distribution.RecordChange;
import shelffront.distribution.Update;
import shelffront.net.EventLog;

/**
 * Replicates the change store into the table of a distributor: watches the head and reads the
 * missing changes, or all records if the log does not reach back far enough.
 *
 * <p>Invariant: a failed read, or a history that steps back, leaves the table unchanged.
 *
 * <p>Threads: owns one thread.
 */
final class EngineFollower implements AutoCloseable {

  private static final long INITIAL_BACKOFF_MILLIS = 100;
  private static final long MAX_BACKOFF_MILLIS = 1000;

  private final ChangeStore store;
  private final Distributor distributor;
  private final LongSupplier clock;
  private final EventLog log;
  private final Thread thread;
  private volatile boolean closed;
  private Head knownHead = Head.EMPTY;
  private boolean hasReadAll;
  private String lastErrorCode = "";

  EngineFollower(ChangeStore store, Distributor distributor, LongSupplier clock, EventLog log) {
    this.store = store;
    this.distributor = distributor;
    this.clock = clock;
    this.log = log;
    thread = new Thread(this::run, "engine-follower");
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  private void run() {
    long backoffMillis = INITIAL_BACKOFF_MILLIS;
    while (!closed) {
      try {
        catchUp();
        lastErrorCode = "";
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        if (knownHead.index() == 0) { // the store has no head to watch before the first change
          TimeUnit.MILLISECONDS.sleep(MAX_BACKOFF_MILLIS);
        }
      } catch (CoordinationException | EngineSteppedBack e) {
        logOnce(e);
        backoffMillis = backOff(backoffMillis);
      } catch (RuntimeException e) {
        log.println("engine follower failed unexpectedly, retrying after a backoff: " + e);
        backoffMillis = backOff(backoffMillis);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sleeps for the backoff and returns the next one. */
  private static long backOff(long backoffMillis) {
    try {
      TimeUnit.MILLISECONDS.sleep(backoffMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
  }

  private void catchUp() throws CoordinationException, EngineSteppedBack {
    long sentAtMicros = clock.getAsLong();
    Head head = hasReadAll ? store.awaitHead(knownHead) : store.head();
    List<RecordChange> missing = missingChanges(head);
    if (missing != null) {
      distributor.apply(new Update.Changes(knownHead.version(), head.version(), missing));
      knownHead = head;
    } else if (hasReadAll && head.version().isBefore(knownHead.version())) {
      throw new EngineSteppedBack(head.version(), knownHead.version());
    } else {
      readAll();
    }
    distributor.confirm(sentAtMicros, 0);
  }

  /**
   * The changes after the known head; null if all records have to be read, which is the case at the
   * start, in a new incarnation, and if the log does not reach back far enough.
   */
  private List<RecordChange> missingChanges(Head head)
      throws CoordinationException, EngineSteppedBack {
    boolean isSameIncarnation = head.version().incarnation() == knownHead.version().incarnation();
    return hasReadAll && isSameIncarnation ? store.changesBetween(knownHead, head) : null;
  }

  private void readAll() throws CoordinationException, EngineSteppedBack {
    ChangeStore.VersionedSnapshot current = store.readAll();
    distributor.apply(current.snapshot());
    knownHead = current.head();
    hasReadAll = true;
    log.println(
        "engine follower read a snapshot at version "
            + knownHead.version().incarnation()
            + "."
            + knownHead.version().sequence()
            + " with "
            + current.snapshot().records().size()
            + " records");
  }

  /** Logs an error unless it has the same code as the previous failure in a row. */
  private void logOnce(OperatorException error) {
    if (!error.code().equals(lastErrorCode)) {
      lastErrorCode = error.code();
      log.println(
          "engine follower " + error.code() + ": " + error.getMessage() + ". " + error.advice());
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    store.close();
  }
}
