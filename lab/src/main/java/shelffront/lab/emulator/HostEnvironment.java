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
 * Where boxes stand: what they know beside the model, what goes wrong with them, and who watches.
 */
public interface HostEnvironment {

  Clock clock();

  /** What a connection costs, in microseconds. */
  long handshakeMicros();

  /** What a statement asks. */
  Query parse(Statement statement, String text) throws ProtocolException;

  /**
   * A request has come over a connection; the answer is told to what is returned, before it is
   * sent.
   */
  Consumer<Answer> attemptArrived(Host host, TransportConnection from, Query query);

  /** A box is about to say over a connection that it is a replica. */
  void replicaRoleSent(Host host, TransportConnection connection);

  /** Whether every answer tells the position; that of a write always does. */
  default boolean sendsPositions() {
    return true;
  }

  /** Whether answers bring a report. */
  default boolean sendsLoadReports() {
    return false;
  }

  /** Whether it answers with garbage now. */
  boolean corruptsAnswer(Host host);

  /** Whether it takes what comes and says nothing. */
  boolean isSilent(Host host);

  /** It was sent what no gateway may send. */
  void malformedRequest(Host host, ProtocolException why);

  /** The other side has ended a connection. */
  void connectionEnded(Host host);
}
