package shelffront.controlplane;

import shelffront.controlplane.DistributionException.ViewTooOld;
import shelffront.distribution.Staleness;
import shelffront.net.EventLog;

/**
 * Tracks the age of a gateway's view, and logs when the age passes the configured limit and when
 * the view is current again. Times are microseconds of one monotonic clock. Threads: guarded by the
 * lock of its owner.
 */
final class ViewAgeMonitor {

  private static final long MICROS_PER_MILLI = 1000;
  private static final long NEVER_CURRENT_MILLIS = -1;

  private final Staleness staleness = new Staleness();
  private final long maxAgeMicros;
  private final EventLog log;
  private long startedAtMicros;
  private boolean wasTooOld;

  ViewAgeMonitor(long maxAgeMicros, EventLog log) {
    this.maxAgeMicros = maxAgeMicros;
    this.log = log;
  }

  /**
   * Records the start. A view that was never confirmed is an error only once the limit has passed
   * since then.
   */
  void start(long nowMicros) {
    startedAtMicros = nowMicros;
  }

  /** Records that the view was current as of a request sent at this time, minus the stated age. */
  void confirm(long sentAtMicros, long statedAgeMicros) {
    staleness.confirm(sentAtMicros, statedAgeMicros);
  }

  /**
   * The maximum age of the view in milliseconds; -1 if it has not been confirmed since the start.
   */
  long ageMillis(long nowMicros) {
    long ageMicros = staleness.maxAgeMicros(nowMicros);
    return ageMicros == Staleness.NEVER ? NEVER_CURRENT_MILLIS : ageMicros / MICROS_PER_MILLI;
  }

  /** The error of a view that is too old; null if the view is current enough. */
  ViewTooOld error(long nowMicros) {
    long ageMicros = staleness.maxAgeMicros(nowMicros);
    boolean isStarting =
        ageMicros == Staleness.NEVER && nowMicros - startedAtMicros <= maxAgeMicros;
    return isStarting || ageMicros <= maxAgeMicros
        ? null
        : new ViewTooOld(ageMillis(nowMicros), maxAgeMicros / MICROS_PER_MILLI);
  }

  /** Logs a transition between current and too old. */
  void check(long nowMicros) {
    ViewTooOld error = error(nowMicros);
    if (error != null && !wasTooOld) {
      log.println(error.code() + ": " + error.getMessage() + ". " + error.advice());
    } else if (error == null && wasTooOld) {
      log.println("the configuration is current again");
    }
    wasTooOld = error != null;
  }
}
