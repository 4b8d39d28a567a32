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
 * A network in memory, in virtual time: who listens where, and how long what is sent takes. All by
 * one seed.
 */
public final class VirtualNetwork {

  /**
   * How it behaves. Times are microseconds.
   *
   * @param latency one way, at least
   * @param jitter the most that is added, drawn evenly
   * @param chop the part of writes that arrive in several pieces, each later than the one before
   */
  public record Weather(long latency, long jitter, double chop) {}

  private final Clock clock;
  private final UniformRandomProvider random;
  private final Map<InetSocketAddress, Binding> listeners = new HashMap<>();
  private Weather weather;
  private int nextPort = 20_000;

  private record Binding(
      SimulatedMachine machine, Function<SimulatedSocket, TransportConnection.Listener> accept) {}

  /** A network without machines; its delays and cuts are drawn from the random numbers. */
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

  /** An address that nobody else has. */
  public InetSocketAddress newAddress() {
    return new InetSocketAddress("127.0.0.1", nextPort++);
  }

  /** Takes connections; each new end is given the owner that the function returns, null refuses. */
  public void listen(
      SimulatedMachine machine,
      InetSocketAddress address,
      Function<SimulatedSocket, TransportConnection.Listener> accept) {
    listeners.put(address, new Binding(machine, accept));
  }

  public void unlisten(InetSocketAddress address) {
    listeners.remove(address);
  }

  /** What a party on a machine lives on. */
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

  /** Sets up a connection; the listener is told how it went, or nothing if a machine is away. */
  public SimulatedSocket connect(
      SimulatedMachine from, InetSocketAddress address, TransportConnection.Listener listener) {
    SimulatedSocket socket = new SimulatedSocket(this, from, listener);
    from.sockets.add(socket);
    clock.after(drawDelayMicros(), () -> requestArrives(socket, address));
    return socket;
  }

  private void requestArrives(SimulatedSocket socket, InetSocketAddress address) {
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
    if (socket.isClosed()) { // given up meanwhile
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
   * Has something arrive at an end, in order behind what was sent to it before, unless a machine is
   * away.
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

  /** Bytes as they arrive: in one piece, or cut anywhere. */
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

  /**
   * How much of what is there a read or a write takes at a time: all of it, or some where things
   * are cut.
   */
  int transferSize(int all) {
    return all < 2 || weather.chop() == 0 || random.nextDouble() >= weather.chop()
        ? all
        : 1 + random.nextInt(all);
  }
}
