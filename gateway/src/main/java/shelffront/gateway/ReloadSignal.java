package shelffront.gateway;

import java.nio.file.Path;
import shelffront.net.EventLog;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * SIGHUP, the order to read the configuration file anew. Installed before the file is first read:
 * without a handler the JVM ends on this signal. Orders that come before anybody can carry them out
 * are kept, as one.
 *
 * <p>A process that was started with SIGHUP ignored (under {@code nohup}, or a shell's {@code trap
 * '' HUP}) keeps it ignored, and no handler is ever called. Its file is then looked at once a
 * second instead.
 */
public final class ReloadSignal {

  private final ConfigFileWatcher fileWatcher; // null where the signal arrives
  private Runnable reload;
  private boolean requested;

  private ReloadSignal(Path file) {
    SignalHandler before = Signal.handle(new Signal("HUP"), signal -> requestReload());
    fileWatcher = before == SignalHandler.SIG_IGN ? new ConfigFileWatcher(file) : null;
  }

  /** For this configuration file. */
  public static ReloadSignal install(Path file) {
    return new ReloadSignal(file);
  }

  private synchronized void requestReload() {
    if (reload == null) {
      requested = true;
    } else {
      reload.run();
    }
  }

  /** From now on orders are carried out by this, one at a time, on a thread of the signal's. */
  public synchronized void handleWith(Runnable action, EventLog log) {
    reload = action;
    if (requested) {
      reload.run();
    }
    if (fileWatcher != null) {
      log.println(
          "SIGHUP is ignored, as this process was started (nohup, trap): the signal will not reload"
              + " the configuration. The file is looked at once a second instead; start with SIGHUP"
              + " at its default, such as by setsid, to have the signal back");
      fileWatcher.start(this::requestReload);
    }
  }
}
