package shelffront.lab.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Function;
import shelffront.lab.model.Clock;

/**
 * What the lab's parties live on: a clock and connections, real or virtual. All calls and tasks are
 * one thread's.
 */
public interface Transport {

  Clock clock();

  /** Sets up a connection; the owner is told how it went. */
  TransportConnection connect(InetSocketAddress address, TransportConnection.Listener listener);

  /**
   * Takes connections at an address; each is given the owner that the function returns, null
   * refuses it.
   *
   * @throws IOException where the address can't be had
   */
  void listen(
      InetSocketAddress address, Function<TransportConnection, TransportConnection.Listener> accept)
      throws IOException;
}
