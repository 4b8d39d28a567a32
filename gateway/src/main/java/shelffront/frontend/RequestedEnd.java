package shelffront.frontend;

import shelffront.net.CloseReason;
import shelffront.net.EventLoop;
import shelffront.net.EventLoop.Deadline;
import shelffront.pg.ProtocolException;

/**
 * An end of a client's connection that its tenant has requested. It waits until every request that
 * was read has its response, so that none is lost; what arrives later crosses the end. Runs on the
 * loop thread of the connection.
 */
final class RequestedEnd {

  /** Delay after which a connection that was busy is checked again. */
  private static final long RECHECK_MICROS = 20_000;

  private final ClientConnection connection;
  private final ProtocolException why;
  private final CloseReason reason;
  private final long readUntilMicros;

  /** Null before the first check. */
  private Deadline nextCheck;

  /**
   * Creates an end that has not been checked yet.
   *
   * @param readUntilMicros from this time on, no input is read
   */
  RequestedEnd(
      ClientConnection connection,
      ProtocolException why,
      CloseReason reason,
      long readUntilMicros) {
    this.connection = connection;
    this.why = why;
    this.reason = reason;
    this.readUntilMicros = readUntilMicros;
  }

  boolean mayStartRead(long nowMicros) {
    return nowMicros < readUntilMicros;
  }

  /** Ends the connection if nothing is outstanding on it, or checks again later. */
  void check() {
    if (!connection.endIfIdle(why, reason)) {
      EventLoop loop = connection.network().loop();
      nextCheck = loop.scheduleAt(loop.nowMicros() + RECHECK_MICROS, this::check);
    }
  }

  void cancel() {
    if (nextCheck != null) {
      nextCheck.cancel();
    }
  }
}
