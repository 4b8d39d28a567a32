package shelffront.lab.virtual;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import shelffront.lab.transport.TransportConnection;

/**
 * One end of a connection on the virtual network: a stream of bytes each way, which arrives in
 * order, in pieces, late, and within a window. Whoever has it is told when there is something to
 * look at.
 */
public final class SimulatedSocket implements TransportConnection {

  final VirtualNetwork network;
  final SimulatedMachine machine;
  Listener listener;
  SimulatedSocket peer;
  long lastArrivalMicros; // of what is under way to this end: pieces never overtake each other
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

  /** The other process has ended, or has answered bytes it did not want by a reset. */
  @Override
  public boolean isReset() {
    return resetReceived;
  }

  /** All bytes were read and no more will come. */
  @Override
  public boolean atEnd() {
    return endReceived && receivedBytes == 0;
  }

  @Override
  public int readableBytes() {
    return receivedBytes;
  }

  /** Takes as many bytes as fit and are there. */
  @Override
  public int read(ByteBuffer into, int most) {
    int count = 0;
    while (!received.isEmpty() && into.hasRemaining() && count < most) {
      byte[] first = received.poll();
      int take = Math.min(Math.min(first.length, into.remaining()), most - count);
      into.put(first, 0, take);
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

  /** How many bytes may be written now. */
  @Override
  public int writableBytes() {
    return peer == null ? 0 : Math.max(0, WINDOW - peer.receivedBytes - peer.inFlightBytes);
  }

  /** Sends bytes, for which there must be room. */
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

  /** No more bytes from here; those that were written still arrive. */
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

  /** Closes as a socket is closed: with input unread the other end is reset. */
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

  /** Ends it at once; the other end is told, unless one of them is cut off. */
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

  /** The other end was given up before the connection stood. */
  void peerAbandoned() {
    endReceived = true;
    listener.readable();
  }

  /** Its machine has been away and knows nothing of it any more. */
  void forget() {
    forgotten = true;
  }

  /** Since when it has been closed here or reset; {@link Long#MAX_VALUE} while it is open. */
  public long closedAtMicros() {
    return closedAtMicros;
  }

  /** When its owner last wrote. */
  public long lastWriteMicros() {
    return lastWriteMicros;
  }

  /** The other end; null until it is connected. */
  public SimulatedSocket peer() {
    return peer;
  }

  /** Whose machine it is on. */
  public SimulatedMachine machine() {
    return machine;
  }

  /** Whether it was closed here, or its other end's reset has come. */
  public boolean isClosed() {
    return closed || resetReceived;
  }
}
