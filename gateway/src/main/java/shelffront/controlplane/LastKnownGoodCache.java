package shelffront.controlplane;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import shelffront.controlplane.DistributionException.DistributionGarbled;
import shelffront.net.EventLog;

/**
 * Keeps the last known good records in a file if the settings name one; otherwise it does nothing.
 * Changes within {@value #WRITE_DELAY_MILLIS} ms are written together. A file that cannot be read
 * or written is logged, and the gateway continues without it; a failed write is repeated with the
 * next change or by {@link #writeNow}.
 *
 * <p>Threads: thread-safe; the file is written on a thread of the timer and on the caller of {@link
 * #writeNow}.
 */
final class LastKnownGoodCache {

  private static final long WRITE_DELAY_MILLIS = 200;

  private final LastKnownGood file; // null where the settings name none
  private final Supplier<LastKnownGood.Contents> contents;
  private final ScheduledExecutorService timer;
  private final EventLog log;
  private final AtomicBoolean writeScheduled = new AtomicBoolean();

  /**
   * Creates a cache.
   *
   * @param path the file; null for no cache
   * @param contents supplies the records in force; called on the threads of the timer and on the
   *     callers of {@link #writeNow}
   */
  LastKnownGoodCache(
      Path path,
      Supplier<LastKnownGood.Contents> contents,
      ScheduledExecutorService timer,
      EventLog log) {
    file = path == null ? null : new LastKnownGood(path);
    this.contents = contents;
    this.timer = timer;
    this.log = log;
  }

  /**
   * Reads the records that the previous run had in force; null if the file does not exist or cannot
   * be read.
   */
  LastKnownGood.Contents read() {
    if (file == null) {
      return null;
    }
    try {
      return file.read();
    } catch (IOException | DistributionGarbled e) {
      log.println(
          "last known good could not be read, starting without cached records: " + e.getMessage());
      return null;
    }
  }

  /** Schedules a write of the records in force. */
  void writeSoon() {
    if (file != null && writeScheduled.compareAndSet(false, true)) {
      timer.schedule(this::writeNow, WRITE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Writes the records in force at once. */
  void writeNow() {
    if (file == null) {
      return;
    }
    // Reset before the contents are read, so that a later change schedules another write.
    writeScheduled.set(false);
    try {
      file.write(contents.get());
    } catch (IOException e) {
      log.println(
          "last known good could not be written, a restart would start from older records: " + e);
    }
  }
}
