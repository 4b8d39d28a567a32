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
      InetSocketAddress at,
      Function<SimulatedSocket, TransportConnection.Listener> accept) {
    listeners.put(at, new Binding(machine, accept));
  }

  public void unlisten(InetSocketAddress at) {
    listeners.remove(at);
  }

  /** What a party on a machine lives on. */
  public Transport transportOn(SimulatedMachine machine) {
    return new Transport() {
      @Override
      public Clock clock() {
        return clock;
      }

      @Override
      public TransportConnection connect(InetSocketAddress to, TransportConnection.Listener owner) {
        return VirtualNetwork.this.connect(machine, to, owner);
      }

      @Override
      public void listen(
          InetSocketAddress at,
          Function<TransportConnection, TransportConnection.Listener> accept) {
        VirtualNetwork.this.listen(machine, at, accept::apply);
      }
    };
  }

  /** Sets up a connection; the owner is told how it went, or nothing where a machine is away. */
  public SimulatedSocket connect(
      SimulatedMachine from, InetSocketAddress to, TransportConnection.Listener owner) {
    SimulatedSocket end = new SimulatedSocket(this, from, owner);
    from.sockets.add(end);
    clock.after(
        drawDelayMicros(),
        () -> {
          Binding there = listeners.get(to);
          if (from.isIsolated() || there != null && there.machine().isIsolated()) {
            return;
          }
          SimulatedSocket far =
              there == null ? null : new SimulatedSocket(this, there.machine(), null);
          TransportConnection.Listener taker = far == null ? null : there.accept().apply(far);
          if (taker == null) {
            clock.after(
                drawDelayMicros(),
                () -> {
                  if (!end.isClosed()) {
                    end.close();
                    owner.refused();
                  }
                });
            return;
          }
          far.listener = taker;
          far.peer = end;
          there.machine().sockets.add(far);
          clock.after(
              drawDelayMicros(),
              () -> {
                if (from.isIsolated()) {
                  return;
                }
                if (end.isClosed()) { // given up meanwhile
                  far.peerAbandoned();
                  return;
                }
                end.peer = far;
                owner.connected();
              });
        });
    return end;
  }

  private long drawDelayMicros() {
    return weather.latency() + (weather.jitter() > 0 ? random.nextLong(weather.jitter()) : 0);
  }

  /**
   * Has something arrive at an end, in order behind what was sent to it before, unless a machine is
   * away.
   */
  void deliver(SimulatedSocket from, SimulatedSocket to, Runnable arrival) {
    to.lastArrivalMicros = Math.max(to.lastArrivalMicros, clock.nowMicros() + drawDelayMicros());
    clock.at(
        to.lastArrivalMicros,
        () -> {
          if (!from.machine.isIsolated() && !to.machine.isIsolated()) {
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
      int to = Math.min(bytes.length, from + 1 + random.nextInt(Math.max(1, bytes.length - from)));
      byte[] piece = new byte[to - from];
      System.arraycopy(bytes, from, piece, 0, piece.length);
      pieces.add(piece);
      from = to;
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
