package shelffront.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.TimeUnit;

/**
 * Polls the configuration file once per second and reports when it was replaced or written. Uses
 * its own daemon thread, since reading file attributes may block.
 */
final class ConfigFileWatcher {

  private static final long INTERVAL_MILLIS = 1000;

  /** The file attributes that are compared to detect a change. */
  private record Stamp(FileTime modified, long size, Object fileKey) {}

  private final Path file;
  private Stamp last;

  /**
   * Takes the file's present state as the baseline. Must be created before the configuration is
   * first read, so that a change during startup is detected.
   */
  ConfigFileWatcher(Path file) {
    this.file = file;
    last = stamp();
  }

  void start(Runnable changed) {
    Thread thread = new Thread(() -> run(changed), "config-file-watch");
    thread.setDaemon(true);
    thread.start();
  }

  private void run(Runnable changed) {
    try {
      while (true) {
        TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
        if (hasChanged()) {
          changed.run();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean hasChanged() {
    Stamp now = stamp();
    // A missing file is not a change: the file may be absent briefly while it is replaced.
    boolean changed = now != null && !now.equals(last);
    last = changed ? now : last;
    return changed;
  }

  private Stamp stamp() {
    try {
      BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
      return new Stamp(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
    } catch (IOException e) {
      return null;
    }
  }
}
