package shelffront.frontend;

import shelffront.net.CloseReason;
import shelffront.pg.ProtocolException;

/** A client's connection as its tenant sees it. Called on the connection's event loop. */
public interface ClientHandle {

  /** Whether no request is in progress or queued and all output has been written. */
  boolean isIdle();

  /** Closes the connection with an error, after the response to the request in progress. */
  void endWithError(ProtocolException why, CloseReason reason);
}
