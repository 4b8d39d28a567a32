package shelffront.controlplane;

import shelffront.controlplane.DistributionException.ViewTooOld;
import shelffront.distribution.Staleness;
import shelffront.net.EventLog;

/**
 * Judges how old a gateway's view is, and logs when it passes the bound of the settings and when it
 * is current again. Threads: guarded by its owner. Times are microseconds of one monotonic clock.
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

  /** A view that was never current is an error only once this is as long ago as the bound. */
  void start(long nowMicros) {
    startedAtMicros = nowMicros;
  }

  /** The view is current as of a question sent at this time, up to an age. */
  void confirm(long sentAtMicros, long statedAgeMicros) {
    staleness.confirm(sentAtMicros, statedAgeMicros);
  }

  /** The age in milliseconds; -1 where the view was never current since the start. */
  long ageMillis(long nowMicros) {
    long ageMicros = staleness.maxAgeMicros(nowMicros);
    return ageMicros == Staleness.NEVER ? NEVER_CURRENT_MILLIS : ageMicros / MICROS_PER_MILLI;
  }

  /** The error to look at; null where the view is current enough. */
  ViewTooOld error(long nowMicros) {
    long ageMicros = staleness.maxAgeMicros(nowMicros);
    boolean isStarting =
        ageMicros == Staleness.NEVER && nowMicros - startedAtMicros <= maxAgeMicros;
    return isStarting || ageMicros <= maxAgeMicros
        ? null
        : new ViewTooOld(ageMillis(nowMicros), maxAgeMicros / MICROS_PER_MILLI);
  }

  /** Logs a change between current and too old. */
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
