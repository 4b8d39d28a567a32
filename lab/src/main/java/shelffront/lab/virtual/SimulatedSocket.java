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

  final VirtualNetwork net;
  final SimulatedMachine machine;
  Owner owner;
  SimulatedSocket other;
  long lastArrival; // of what is under way to this end: pieces never overtake each other
  private final ArrayDeque<byte[]> in = new ArrayDeque<>();
  private int inBytes;
  private int onTheWay;
  private boolean finIn;
  private boolean finOut;
  private boolean resetIn;
  private boolean closed;
  private boolean forgotten;
  private long overAt = Long.MAX_VALUE;
  private long writtenAt;

  SimulatedSocket(VirtualNetwork net, SimulatedMachine machine, Owner owner) {
    this.net = net;
    this.machine = machine;
    this.owner = owner;
  }

  public boolean isOpen() {
    return !closed && other != null;
  }

  @Override
  public boolean isConnected() {
    return other != null;
  }

  /** The other process has ended, or has answered bytes it did not want by a reset. */
  @Override
  public boolean isReset() {
    return resetIn;
  }

  /** All bytes were read and no more will come. */
  @Override
  public boolean atEnd() {
    return finIn && inBytes == 0;
  }

  @Override
  public int available() {
    return inBytes;
  }

  /** Takes as many bytes as fit and are there. */
  @Override
  public int read(ByteBuffer into, int most) {
    int count = 0;
    while (!in.isEmpty() && into.hasRemaining() && count < most) {
      byte[] first = in.poll();
      int take = Math.min(Math.min(first.length, into.remaining()), most - count);
      into.put(first, 0, take);
      count += take;
      if (take < first.length) {
        byte[] rest = new byte[first.length - take];
        System.arraycopy(first, take, rest, 0, rest.length);
        in.addFirst(rest);
      }
    }
    inBytes -= count;
    SimulatedSocket sender = other;
    if (count > 0 && sender != null) {
      net.deliver(
          this,
          sender,
          () -> {
            if (!sender.closed && sender.owner != null) {
              sender.owner.writable();
            }
          });
    }
    return count;
  }

  /** How many bytes may be written now. */
  @Override
  public int room() {
    return other == null ? 0 : Math.max(0, WINDOW - other.inBytes - other.onTheWay);
  }

  /** Sends bytes, for which there must be room. */
  @Override
  public void write(byte[] bytes) {
    if (closed || finOut || resetIn || other == null) {
      return;
    }
    writtenAt = net.clock().now();
    SimulatedSocket to = other;
    for (byte[] piece : net.pieces(bytes)) {
      to.onTheWay += piece.length;
      net.deliver(this, to, () -> to.arrive(piece));
    }
  }

  private void arrive(byte[] piece) {
    onTheWay -= piece.length;
    if (closed || forgotten) {
      answerWithReset();
      return;
    }
    if (!resetIn) {
      in.add(piece);
      inBytes += piece.length;
      owner.readable();
    }
  }

  private void answerWithReset() {
    SimulatedSocket to = other;
    net.deliver(this, to, to::arriveReset);
  }

  private void arriveReset() {
    if (closed || resetIn) {
      return;
    }
    resetIn = true;
    overAt = Math.min(overAt, net.clock().now());
    in.clear();
    inBytes = 0;
    owner.readable();
  }

  /** No more bytes from here; those that were written still arrive. */
  public void shutdownOutput() {
    if (closed || finOut || other == null) {
      return;
    }
    finOut = true;
    SimulatedSocket to = other;
    net.deliver(
        this,
        to,
        () -> {
          if (to.closed || to.forgotten) {
            return;
          }
          to.finIn = true;
          to.owner.readable();
        });
  }

  /** Closes as a socket is closed: with input unread the other end is reset. */
  @Override
  public void close() {
    if (closed) {
      return;
    }
    if (inBytes > 0) {
      reset();
      return;
    }
    shutdownOutput();
    closed = true;
    overAt = Math.min(overAt, net.clock().now());
    machine.ends.remove(this);
  }

  /** Ends it at once; the other end is told, unless one of them is cut off. */
  @Override
  public void reset() {
    if (closed) {
      return;
    }
    closed = true;
    overAt = Math.min(overAt, net.clock().now());
    machine.ends.remove(this);
    if (other != null) {
      answerWithReset();
    }
  }

  /** The other end was given up before the connection stood. */
  void abandoned() {
    finIn = true;
    owner.readable();
  }

  /** Its machine has been away and knows nothing of it any more. */
  void forget() {
    forgotten = true;
  }

  /** Since when it has been closed here or reset; {@link Long#MAX_VALUE} while it is open. */
  public long overAt() {
    return overAt;
  }

  /** When its owner last wrote. */
  public long writtenAt() {
    return writtenAt;
  }

  /** The other end; null until it is connected. */
  public SimulatedSocket other() {
    return other;
  }

  /** Whose machine it is on. */
  public SimulatedMachine machine() {
    return machine;
  }

  /** Whether it was closed here, or its other end's reset has come. */
  public boolean isOver() {
    return closed || resetIn;
  }
}
