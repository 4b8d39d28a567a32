package shelffront.lab.virtual;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import shelffront.lab.transport.TransportConnection;

/**
 * One end of a connection on the virtual network. Bytes arrive in order, delayed, possibly in
 * pieces, and flow control limits them to a window. The listener is notified of changes.
 */
public final class SimulatedSocket implements TransportConnection {

  final VirtualNetwork network;
  final SimulatedMachine machine;
  Listener listener;
  SimulatedSocket peer;
  long lastArrivalMicros; // latest scheduled arrival at this end; keeps pieces in order
  private final ArrayDeque<byte[]> received = new ArrayDeque<>();
  private int receivedBytes;
  private int inFlightBytes;
  private boolean endReceived;
  private boolean endSent;
  private boolean resetReceived;
  private boolean closed;
  private boolean forgotten;
  private long closedAtMicros = Long.MAX_VALUE;
  private long lastWriteMicros;

  SimulatedSocket(VirtualNetwork network, SimulatedMachine machine, Listener listener) {
    this.network = network;
    this.machine = machine;
    this.listener = listener;
  }

  public boolean isOpen() {
    return !closed && peer != null;
  }

  @Override
  public boolean isConnected() {
    return peer != null;
  }

  @Override
  public boolean isReset() {
    return resetReceived;
  }

  @Override
  public boolean atEnd() {
    return endReceived && receivedBytes == 0;
  }

  @Override
  public int readableBytes() {
    return receivedBytes;
  }

  @Override
  public int read(ByteBuffer target, int maxBytes) {
    int count = 0;
    while (!received.isEmpty() && target.hasRemaining() && count < maxBytes) {
      byte[] first = received.poll();
      int take = Math.min(Math.min(first.length, target.remaining()), maxBytes - count);
      target.put(first, 0, take);
      count += take;
      if (take < first.length) {
        byte[] rest = new byte[first.length - take];
        System.arraycopy(first, take, rest, 0, rest.length);
        received.addFirst(rest);
      }
    }
    receivedBytes -= count;
    SimulatedSocket sender = peer;
    if (count > 0 && sender != null) {
      network.deliver(
          this,
          sender,
          () -> {
            if (!sender.closed && sender.listener != null) {
              sender.listener.writable();
            }
          });
    }
    return count;
  }

  @Override
  public int writableBytes() {
    return peer == null ? 0 : Math.max(0, WINDOW - peer.receivedBytes - peer.inFlightBytes);
  }

  @Override
  public void write(byte[] bytes) {
    if (closed || endSent || resetReceived || peer == null) {
      return;
    }
    lastWriteMicros = network.clock().nowMicros();
    SimulatedSocket receiver = peer;
    for (byte[] piece : network.pieces(bytes)) {
      receiver.inFlightBytes += piece.length;
      network.deliver(this, receiver, () -> receiver.arrive(piece));
    }
  }

  private void arrive(byte[] piece) {
    inFlightBytes -= piece.length;
    if (closed || forgotten) {
      answerWithReset();
      return;
    }
    if (!resetReceived) {
      received.add(piece);
      receivedBytes += piece.length;
      listener.readable();
    }
  }

  private void answerWithReset() {
    SimulatedSocket receiver = peer;
    network.deliver(this, receiver, receiver::arriveReset);
  }

  private void arriveReset() {
    if (closed || resetReceived) {
      return;
    }
    resetReceived = true;
    closedAtMicros = Math.min(closedAtMicros, network.clock().nowMicros());
    received.clear();
    receivedBytes = 0;
    listener.readable();
  }

  /** Ends the output of this side; bytes that were written still arrive. */
  public void shutdownOutput() {
    if (closed || endSent || peer == null) {
      return;
    }
    endSent = true;
    SimulatedSocket receiver = peer;
    network.deliver(
        this,
        receiver,
        () -> {
          if (receiver.closed || receiver.forgotten) {
            return;
          }
          receiver.endReceived = true;
          receiver.listener.readable();
        });
  }

  /** Closes like a TCP socket: if received bytes are unread, the peer is reset. */
  @Override
  public void close() {
    if (closed) {
      return;
    }
    if (receivedBytes > 0) {
      reset();
      return;
    }
    shutdownOutput();
    closed = true;
    closedAtMicros = Math.min(closedAtMicros, network.clock().nowMicros());
    machine.sockets.remove(this);
  }

  /**
   * Resets the connection at once; the peer learns of it unless one of the machines is isolated.
   */
  @Override
  public void reset() {
    if (closed) {
      return;
    }
    closed = true;
    closedAtMicros = Math.min(closedAtMicros, network.clock().nowMicros());
    machine.sockets.remove(this);
    if (peer != null) {
      answerWithReset();
    }
  }

  /**
   * Called when the connecting side had closed its socket before the connection was established.
   */
  void peerAbandoned() {
    endReceived = true;
    listener.readable();
  }

  /** Marks the socket as unknown to its machine, which answers further data with a reset. */
  void forget() {
    forgotten = true;
  }

  /** Returns when it was closed or reset, or {@link Long#MAX_VALUE} while it is open. */
  public long closedAtMicros() {
    return closedAtMicros;
  }

  /** Returns when bytes were last written here, 0 if never. */
  public long lastWriteMicros() {
    return lastWriteMicros;
  }

  /** Returns the other end, or null until the connection is established. */
  public SimulatedSocket peer() {
    return peer;
  }

  /** Returns the machine of this end. */
  public SimulatedMachine machine() {
    return machine;
  }

  /** Whether it was closed here or a reset from the peer has arrived. */
  public boolean isClosed() {
    return closed || resetReceived;
  }
}
