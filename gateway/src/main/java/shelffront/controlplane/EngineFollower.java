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
 * Keeps a distributor's table as the engine's, on a thread of its own: watches the head, reads the
 * changes that are missing, and all records where the log does not reach back. What the engine
 * can't give, or what would step back, changes nothing.
 */
final class EngineFollower implements AutoCloseable {

  private static final long FIRST_PAUSE_MILLIS = 100;
  private static final long LONGEST_PAUSE_MILLIS = 1000;

  private final ChangeStore store;
  private final Distributor distributor;
  private final LongSupplier clock;
  private final EventLog log;
  private final Thread thread;
  private volatile boolean closed;
  private Head known = Head.EMPTY;
  private boolean read; // all records were read once
  private String lastError = "";

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
    long pause = FIRST_PAUSE_MILLIS;
    while (!closed) {
      try {
        follow();
        lastError = "";
        pause = FIRST_PAUSE_MILLIS;
        if (known.index() == 0) {
          TimeUnit.MILLISECONDS.sleep(LONGEST_PAUSE_MILLIS); // nothing was ever written
        }
      } catch (CoordinationException | EngineSteppedBack e) {
        complain(e);
        pause = sleep(pause);
      } catch (RuntimeException e) {
        log.println("engine follower fault " + e);
        pause = sleep(pause);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private long sleep(long pause) {
    try {
      TimeUnit.MILLISECONDS.sleep(pause);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return Math.min(LONGEST_PAUSE_MILLIS, 2 * pause);
  }

  private void follow() throws CoordinationException, EngineSteppedBack {
    long sentAt = clock.getAsLong();
    Head head = read ? store.awaitHead(known) : store.head();
    boolean sameIncarnation = head.version().incarnation() == known.version().incarnation();
    List<RecordChange> missing = read && sameIncarnation ? store.changesBetween(known, head) : null;
    if (missing != null) {
      distributor.take(new Update.Changes(known.version(), head.version(), missing));
      known = head;
    } else if (read && head.version().isBefore(known.version())) {
      throw new EngineSteppedBack(head.version(), known.version());
    } else {
      readAll();
    }
    distributor.confirm(sentAt, 0);
  }

  private void readAll() throws CoordinationException, EngineSteppedBack {
    ChangeStore.VersionedSnapshot all = store.readAll();
    distributor.take(all.snapshot());
    known = all.head();
    read = true;
    log.println(
        "engine read whole at "
            + known.version().incarnation()
            + "."
            + known.version().sequence()
            + ", "
            + all.snapshot().records().size()
            + " records");
  }

  /** Says each trouble once, until it is over or another. */
  private void complain(OperatorException e) {
    if (!e.code().equals(lastError)) {
      lastError = e.code();
      log.println("engine follower " + e.code() + ": " + e.getMessage() + ". " + e.advice());
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
    store.close();
  }
}
