package shelffront.frontend;

import shelffront.net.CloseReason;
import shelffront.pg.ProtocolException;

/** A client's connection, as its tenant sees it. Used on the connection's event loop. */
public interface ClientHandle {

  /** Whether nothing of it is in work or unsent. */
  boolean isIdle();

  /** Ends it with an error once what is in work has been answered. */
  void endWithError(ProtocolException why, CloseReason reason);
}
