package shelffront.gateway;

import java.nio.file.Path;
import shelffront.net.EventLog;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Handles SIGHUP, which requests a reload of the configuration file. Must be installed before the
 * file is first read, since the JVM terminates on this signal without a handler. Signals that
 * arrive before {@link #handleWith} is called are coalesced into one pending request.
 *
 * <p>A process that was started with SIGHUP ignored (under {@code nohup}, or with a shell's {@code
 * trap '' HUP}) keeps ignoring it, and the JVM never calls the handler. In that case the file is
 * polled once per second instead.
 *
 * <p>Thread-safe: signals arrive on a thread of the JVM.
 */
public final class ReloadSignal {

  private final ConfigFileWatcher fileWatcher; // null unless SIGHUP is ignored
  private Runnable reload;
  private boolean requested;

  private ReloadSignal(Path file) {
    SignalHandler before = Signal.handle(new Signal("HUP"), signal -> requestReload());
    fileWatcher = before == SignalHandler.SIG_IGN ? new ConfigFileWatcher(file) : null;
  }

  /** Installs the signal handler; the file is polled for changes if SIGHUP is ignored. */
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

  /**
   * Sets the action that reloads the configuration, and runs it if a request is pending. Further
   * requests run the action one at a time, on the thread of the signal or of the file watcher.
   */
  public synchronized void handleWith(Runnable action, EventLog log) {
    reload = action;
    if (requested) {
      reload.run();
    }
    if (fileWatcher != null) {
      log.println(
          "SIGHUP is ignored because the process was started that way (nohup, trap), so the signal"
              + " does not reload the configuration. The configuration file is polled once per"
              + " second instead. To enable the signal, start the process with the default action"
              + " for SIGHUP, for example with setsid instead of nohup");
      fileWatcher.start(this::requestReload);
    }
  }
}
