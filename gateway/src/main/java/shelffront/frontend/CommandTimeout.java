package shelffront.frontend;

import shelffront.net.CloseReason;
import shelffront.net.EventLoop;
import shelffront.net.EventLoop.Deadline;

/**
 * Bounds the wait for a client's next complete command. Does not run while a request is in
 * progress. Runs on the loop thread of the connection.
 */
final class CommandTimeout {

  /** Delay before a timeout that found the connection busy checks again. */
  private static final long RECHECK_MICROS = 20_000;

  private final ClientConnection connection;
  private final ClientActivity activity;
  private Deadline deadline;

  /** Starts with the wait for the first command. */
  CommandTimeout(ClientConnection connection, ClientActivity activity) {
    this.connection = connection;
    this.activity = activity;
    startForFirstCommand();
  }

  void startForFirstCommand() {
    schedule(activity.firstCommandDeadlineMicros(), CloseReason.STARTUP_TIMEOUT);
  }

  /** Restarts the wait of a connection that is idle, or whose client stopped within a command. */
  void restart() {
    cancel();
    schedule(activity.nextCommandDeadlineMicros(loop().nowMicros()), CloseReason.IDLE);
  }

  void cancel() {
    deadline.cancel();
  }

  private void schedule(long atMicros, CloseReason reason) {
    deadline = loop().scheduleAt(atMicros, () -> expire(reason));
  }

  private void expire(CloseReason reason) {
    if (!connection.tryCloseIdle(reason)) {
      schedule(loop().nowMicros() + RECHECK_MICROS, reason);
    }
  }

  private EventLoop loop() {
    return connection.network().loop();
  }
}
