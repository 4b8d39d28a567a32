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
 * Keeps the last known good on disk, where the settings name a file; else does nothing. Changes
 * within a short time are written together. A file that can't be read or written is logged, and the
 * gateway goes on without; a failed write is tried again with the next change, or by {@link
 * #writeNow}.
 *
 * <p>Threads: any may call; the file is written on the timer's and by {@link #writeNow}.
 */
final class LastKnownGoodCache {

  private static final long WRITE_DELAY_MILLIS = 200;

  private final LastKnownGood file; // null where the settings name none
  private final Supplier<LastKnownGood.Contents> contents;
  private final ScheduledExecutorService timer;
  private final EventLog log;
  private final AtomicBoolean writeScheduled = new AtomicBoolean();

  /**
   * A cache in a file.
   *
   * @param path null: none
   * @param contents what is in force; called on the timer's threads
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

  /** What an earlier run had in force; null where there is no file or it can't be read. */
  LastKnownGood.Contents read() {
    if (file == null) {
      return null;
    }
    try {
      return file.read();
    } catch (IOException | DistributionGarbled e) {
      log.println("the last known good can't be read, it begins without: " + e.getMessage());
      return null;
    }
  }

  /** Has what is in force written after a short time. */
  void writeSoon() {
    if (file != null && writeScheduled.compareAndSet(false, true)) {
      timer.schedule(this::writeNow, WRITE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Writes what is in force. */
  void writeNow() {
    if (file == null) {
      return;
    }
    // Before the contents are taken: a change after that has to schedule another write.
    writeScheduled.set(false);
    try {
      file.write(contents.get());
    } catch (IOException e) {
      log.println(
          "the last known good can't be written, a restart would begin with older records: " + e);
    }
  }
}
