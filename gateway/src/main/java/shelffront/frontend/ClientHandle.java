package shelffront.frontend;

import shelffront.net.CloseReason;
import shelffront.pg.ProtocolException;

/** A client's connection as its tenant sees it. Called on the connection's event loop. */
public interface ClientHandle {

  /**
   * Ends the connection with an error once every request that it has sent has its response.
   * Requests are still read and handled until it is idle, but nothing is read from the given time
   * on, so that a client that sends without pause is disconnected too.
   */
  void endWhenAnswered(ProtocolException why, CloseReason reason, long readUntilMicros);
}
