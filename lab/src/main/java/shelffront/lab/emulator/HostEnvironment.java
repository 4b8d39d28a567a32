package shelffront.lab.emulator;

import java.util.function.Consumer;
import shelffront.lab.model.Clock;
import shelffront.lab.model.ReplicaSetModel.Answer;
import shelffront.lab.model.ReplicaSetModel.Host;
import shelffront.lab.model.ReplicaSetModel.Query;
import shelffront.lab.transport.TransportConnection;
import shelffront.pg.ProtocolException;
import shelffront.pg.Statement;

/**
 * The surroundings of emulated hosts: the settings that the model does not hold, injected faults,
 * and observers of the connections.
 */
public interface HostEnvironment {

  Clock clock();

  /** Time from a startup message to its response, in microseconds. */
  long handshakeMicros();

  /** Converts a statement to a query of the model. */
  Query parse(Statement statement, String text) throws ProtocolException;

  /**
   * Reports an attempt that has arrived on a connection. The returned consumer receives the
   * response before it is sent.
   */
  Consumer<Answer> attemptArrived(Host host, TransportConnection from, Query query);

  /** Reports that a host is about to send its role as a replica on a connection. */
  void replicaRoleSent(Host host, TransportConnection connection);

  /** Whether responses to reads include the position; responses to writes always do. */
  default boolean sendsPositions() {
    return true;
  }

  /** Whether successful responses include a load report. */
  default boolean sendsLoadReports() {
    return false;
  }

  /** Whether responses of the host are currently malformed. */
  boolean corruptsAnswer(Host host);

  /** Whether the host currently reads queries without responding. */
  boolean isSilent(Host host);

  /** Reports a message to a host that violates the protocol. */
  void malformedRequest(Host host, ProtocolException why);

  /** Reports that the peer closed or reset a connection. */
  void connectionEnded(Host host);
}
