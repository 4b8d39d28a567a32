package shelffront.lab.virtual;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import shelffront.lab.model.Clock;
import shelffront.lab.transport.Transport;
import shelffront.lab.transport.TransportConnection;

/**
 * A network in memory and in virtual time: holds the listeners by address and delays deliveries.
 * All random choices come from one seeded generator, so a run is reproducible. Not thread-safe.
 */
public final class VirtualNetwork {

  /**
   * Conditions of the network.
   *
   * @param latency minimum one-way delay in microseconds
   * @param jitter upper bound of the uniformly distributed additional delay in microseconds
   * @param chop probability that a write arrives in several pieces, each with a delay of its own
   *     but in order, and that a read or write transfers only some of the available bytes
   */
  public record Weather(long latency, long jitter, double chop) {}

  private final Clock clock;
  private final UniformRandomProvider random;
  private final Map<InetSocketAddress, Binding> listeners = new HashMap<>();
  private Weather weather;
  private int nextPort = 20_000;

  private record Binding(
      SimulatedMachine machine, Function<SimulatedSocket, TransportConnection.Listener> accept) {}

  /** Creates a network that draws delays and fragmentation from {@code random}. */
  public VirtualNetwork(Clock clock, UniformRandomProvider random, Weather weather) {
    this.clock = clock;
    this.random = random;
    this.weather = weather;
  }

  public void weather(Weather next) {
    weather = next;
  }

  public Clock clock() {
    return clock;
  }

  public SimulatedMachine machine(String name) {
    return new SimulatedMachine(name);
  }

  /** Returns an unused address. */
  public InetSocketAddress newAddress() {
    return new InetSocketAddress("127.0.0.1", nextPort++);
  }

  /**
   * Accepts connections on an address. The function returns the listener of a new connection, or
   * null to refuse it.
   */
  public void listen(
      SimulatedMachine machine,
      InetSocketAddress address,
      Function<SimulatedSocket, TransportConnection.Listener> accept) {
    listeners.put(address, new Binding(machine, accept));
  }

  public void unlisten(InetSocketAddress address) {
    listeners.remove(address);
  }

  /** Returns the transport of clients and servers on a machine. */
  public Transport transportOn(SimulatedMachine machine) {
    return new Transport() {
      @Override
      public Clock clock() {
        return clock;
      }

      @Override
      public TransportConnection connect(
          InetSocketAddress address, TransportConnection.Listener listener) {
        return VirtualNetwork.this.connect(machine, address, listener);
      }

      @Override
      public void listen(
          InetSocketAddress address,
          Function<TransportConnection, TransportConnection.Listener> accept) {
        VirtualNetwork.this.listen(machine, address, accept::apply);
      }
    };
  }

  /**
   * Starts to connect. The listener is notified of the outcome, but never if one of the machines is
   * isolated.
   */
  public SimulatedSocket connect(
      SimulatedMachine from, InetSocketAddress address, TransportConnection.Listener listener) {
    SimulatedSocket socket = new SimulatedSocket(this, from, listener);
    from.sockets.add(socket);
    clock.after(drawDelayMicros(), () -> connectionRequestArrives(socket, address));
    return socket;
  }

  private void connectionRequestArrives(SimulatedSocket socket, InetSocketAddress address) {
    Binding binding = listeners.get(address);
    if (socket.machine.isIsolated() || binding != null && binding.machine().isIsolated()) {
      return;
    }
    SimulatedSocket peer =
        binding == null ? null : new SimulatedSocket(this, binding.machine(), null);
    TransportConnection.Listener acceptor = peer == null ? null : binding.accept().apply(peer);
    if (acceptor == null) {
      clock.after(drawDelayMicros(), () -> refusalArrives(socket));
      return;
    }
    peer.listener = acceptor;
    peer.peer = socket;
    binding.machine().sockets.add(peer);
    clock.after(drawDelayMicros(), () -> acceptanceArrives(socket, peer));
  }

  private static void refusalArrives(SimulatedSocket socket) {
    if (!socket.isClosed()) {
      socket.close();
      socket.listener.refused();
    }
  }

  private static void acceptanceArrives(SimulatedSocket socket, SimulatedSocket peer) {
    if (socket.machine.isIsolated()) {
      return;
    }
    if (socket.isClosed()) { // closed while connecting
      peer.peerAbandoned();
      return;
    }
    socket.peer = peer;
    socket.listener.connected();
  }

  private long drawDelayMicros() {
    return weather.latency() + (weather.jitter() > 0 ? random.nextLong(weather.jitter()) : 0);
  }

  /**
   * Schedules an arrival at a socket, not before arrivals scheduled earlier. It is dropped if one
   * of the machines is isolated when it is due.
   */
  void deliver(SimulatedSocket from, SimulatedSocket receiver, Runnable arrival) {
    receiver.lastArrivalMicros =
        Math.max(receiver.lastArrivalMicros, clock.nowMicros() + drawDelayMicros());
    clock.at(
        receiver.lastArrivalMicros,
        () -> {
          if (!from.machine.isIsolated() && !receiver.machine.isIsolated()) {
            arrival.run();
          }
        });
  }

  /** Splits a write into the pieces in which it arrives: one, or several of random lengths. */
  List<byte[]> pieces(byte[] bytes) {
    if (bytes.length < 2 || weather.chop() == 0 || random.nextDouble() >= weather.chop()) {
      return List.of(bytes);
    }
    List<byte[]> pieces = new ArrayList<>();
    int from = 0;
    while (from < bytes.length) {
      int end = Math.min(bytes.length, from + 1 + random.nextInt(Math.max(1, bytes.length - from)));
      byte[] piece = new byte[end - from];
      System.arraycopy(bytes, from, piece, 0, piece.length);
      pieces.add(piece);
      from = end;
    }
    return pieces;
  }

  /** Returns how many of the available bytes one read or write transfers: all, or a random part. */
  int transferSize(int available) {
    return available < 2 || weather.chop() == 0 || random.nextDouble() >= weather.chop()
        ? available
        : 1 + random.nextInt(available);
  }
}
