package shelffront.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.TimeUnit;

/**
 * Looks at the configuration file once a second and tells when it was replaced or written. Has a
 * daemon thread of its own, since looking at a file may block.
 */
final class ConfigFileWatcher {

  private static final long INTERVAL_MILLIS = 1000;

  /** What tells one state of the file from another. */
  private record Stamp(FileTime modified, long size, Object fileKey) {}

  private final Path file;
  private Stamp last;

  /** Compares with the file as it is now, so it is made before the file is read for the start. */
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
    // A file that is away for a moment is about to be replaced.
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
