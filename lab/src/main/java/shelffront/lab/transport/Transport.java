package shelffront.lab.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Function;
import shelffront.lab.model.Clock;

/**
 * A clock and connections, in real or virtual time, for the lab's clients and servers. All calls
 * and tasks run on one thread.
 */
public interface Transport {

  Clock clock();

  /** Starts to connect; the listener is notified of the outcome. */
  TransportConnection connect(InetSocketAddress address, TransportConnection.Listener listener);

  /**
   * Accepts connections on an address. The function returns the listener of a new connection, or
   * null to refuse it.
   *
   * @throws IOException if the address cannot be bound
   */
  void listen(
      InetSocketAddress address, Function<TransportConnection, TransportConnection.Listener> accept)
      throws IOException;
}
