package shelffront.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.function.BiConsumer;

/**
 * One socket with its buffers, whatever is spoken on it. All methods run on the loop thread. A
 * connection ends exactly once, by {@link #close}, which leaves its line in the log.
 */
public abstract class Connection {

  private static final int FIRST_BUFFER = 4096;
  private static final long LINGER = 500_000;
  private static final int GREATEST_DROPPED = 1 << 20;
  private static final long STALL =
      10_000_000; // A peer that takes nothing for so long is given up.
  private static final int GREATEST_AHEAD =
      192 * 1024; // Read only to see the peer's end behind it.

  protected Network network;
  private final String kind;
  private final int greatestBuffer;
  private final AsynchronousSocketChannel channel;
  private final ArrayDeque<byte[]> output = new ArrayDeque<>();
  private ByteBuffer input = ByteBuffer.allocate(FIRST_BUFFER);
  private final ArrivalTimes arrivals = new ArrivalTimes();
  private long consumed; // bytes that were taken out of the input before those that it holds
  private ByteBuffer writing;
  private EventLoop.Deadline stall;
  private boolean connected;
  private boolean reading;
  private boolean readingAhead; // the read that is out is not into the input
  private boolean offering;
  private ByteBuffer ahead; // only while a read ahead is out

  /** What a read brought waits for its turn on the loop. Set by the thread that completes it. */
  private volatile boolean unprocessedInput;

  private boolean paused; // what was read is not all consumed, since no more input was wanted
  private CloseReason peerEnded;
  private CloseReason closeWhenWritten;
  private Runnable
      moving; // what begins on the loop that it moves to, once nothing of it is out here
  private Network movingTo;
  private int toDrop; // bytes still read for nothing while a connection ends
  private long dropped; // bytes read for nothing behind what can't be understood
  private boolean closed;

  protected Connection(
      Network network, String kind, AsynchronousSocketChannel channel, int greatestBuffer) {
    this.network = network;
    this.kind = kind;
    this.channel = channel;
    this.greatestBuffer = greatestBuffer;
  }

  /**
   * What has arrived and was not consumed; whatever is left in it is offered again with what
   * follows.
   */
  protected abstract void onBytesReceived(ByteBuffer bytes);

  /**
   * When the last byte taken from what {@link #onBytesReceived} was given had been read from the
   * socket. Bytes may have stood in the buffer for long by then, behind commands that come first.
   */
  protected final long arrivalMicrosOfConsumed(ByteBuffer bytes) {
    return arrivals.readTime(consumed + bytes.position());
  }

  /** All output was handed to the socket. */
  protected void onOutputWritten() {}

  /**
   * Whether to take what was read; a connection that says no calls {@link #readMore} later. Reading
   * goes on ahead of that, as far as there is room, so that the peer's end is seen behind what
   * waits.
   */
  protected boolean wantsInput() {
    return true;
  }

  /** Whether what is read is of no use any more and is dropped; the peer's end is still seen. */
  protected boolean discardsInput() {
    return false;
  }

  /** Bytes, or the peer's end, were read from the system and have not been looked at yet. */
  public final boolean hasUnprocessedInput() {
    return unprocessedInput;
  }

  /**
   * Whether it is ending: its peer has ended, or its last output is out or being written. Nothing
   * is begun for it.
   */
  protected final boolean isEnding() {
    return closed || closeWhenWritten != null || peerEnded != null;
  }

  /** Called once, after the socket was closed. */
  protected abstract void onClosed(CloseReason reason);

  /**
   * Belongs to another view of the same loop from now on, a tenant's; false if that has no room for
   * its buffer.
   */
  protected final boolean tryJoinTenant(Network next) {
    long counted = input.capacity() - FIRST_BUFFER;
    if (!next.budget().tryAcquire(counted)) {
      return false;
    }
    network.budget().release(counted);
    network = next;
    return true;
  }

  /**
   * Moves to another loop, once what is being read is parsed and what was written has gone out:
   * from then on nothing of it is on this one, and {@code there} runs on that one, as its first
   * turn. Neither loop has it in between.
   */
  protected final void moveToLoop(Network next, Runnable there) {
    movingTo = next;
    moving = there;
  }

  private void completeMove() {
    if (moving == null || reading || !isOutputEmpty()) {
      return;
    }
    network.loop().cancelFlush(this);
    if (stall != null) {
      stall.cancel();
    }
    Runnable there = moving;
    moving = null;
    onLeavingLoop();
    network = movingTo;
    network.loop().post(there);
  }

  /** Nothing of it is out on the present loop, which it leaves now. */
  protected void onLeavingLoop() {}

  /**
   * Goes on after a move, on the new loop: with what had been read before, then with what comes.
   */
  protected final void resumeAfterMove() {
    offerInput();
    readMore();
  }

  /**
   * Offers what was read, whether or not anything was left when input was last wanted; then reads
   * on.
   */
  protected final void reofferInput() {
    paused = true;
    readMore();
  }

  protected final long nowMicros() {
    return network.loop().nowMicros();
  }

  public final boolean isClosed() {
    return closed;
  }

  /** Nothing waits to be written. */
  protected final boolean isOutputEmpty() {
    return writing == null && output.isEmpty();
  }

  protected final void connect(SocketAddress address) {
    channel.connect(
        address,
        null,
        handler(
            (none, failure) -> {
              if (failure != null) {
                close(CloseReason.CONNECT_FAILED);
              } else {
                startReading();
              }
            },
            false));
  }

  /** Begins reading on a channel that is connected. */
  protected final void startReading() {
    connected = true;
    try {
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException e) {
      close(CloseReason.PEER_RESET);
      return;
    }
    network.loop().flushLater(this);
    readMore();
  }

  protected final void readMore() {
    if (offering
        || closed
        || !connected
        || peerEnded != null
        || closeWhenWritten != null
        || moving != null) {
      return;
    }
    if (paused && wantsInput() && (!reading || readingAhead)) {
      // Nothing more may ever come that would have the rest looked at.
      offerInput();
      if (moving != null) {
        completeMove();
        return;
      }
      if (closed || closeWhenWritten != null) {
        return;
      }
    }
    if (reading) {
      return;
    }
    if (wantsInput()) {
      if (!input.hasRemaining() && !grow()) {
        return;
      }
      reading = true;
      channel.read(input, null, handler(this::onRead, true));
    } else if (hasRoomAhead()) {
      // What waits in the input may be taken while this read is out, so it has a buffer of its own.
      ahead = ahead == null ? ByteBuffer.allocate(FIRST_BUFFER) : ahead.clear();
      reading = true;
      readingAhead = true;
      channel.read(ahead, null, handler(this::onRead, true));
    }
  }

  /**
   * Whether what a read ahead may bring fits behind what waits; where not, the peer's end is seen
   * later.
   */
  private boolean hasRoomAhead() {
    if (discardsInput()) {
      dropped += input.position();
      consumed += input.position();
      input.clear();
      paused = false;
      return dropped <= GREATEST_DROPPED;
    }
    return input.remaining() >= FIRST_BUFFER
        || input.capacity() < Math.min(greatestBuffer, GREATEST_AHEAD) && enlarge();
  }

  private void onRead(Integer count, Throwable failure) {
    boolean wasAhead = readingAhead;
    readingAhead = false;
    if (failure != null || count < 0) {
      reading = false;
      // Whether a request was written whole is known only when the write that is out has ended: a
      // peer's
      // end may be seen before it, and taken alone would pass for "never ran". Until then nothing
      // is begun.
      peerEnded = failure != null ? CloseReason.PEER_RESET : CloseReason.PEER_CLOSED;
      if (writing == null) {
        close(closeWhenWritten != null ? closeWhenWritten : peerEnded);
      }
      return;
    }
    network.counters().add(Counters.Name.BYTES_IN, count);
    if (toDrop > 0) {
      discardInput(count);
      return;
    }
    arrivals.read(count, nowMicros());
    if (wasAhead) {
      input.put(ahead.flip());
      ahead = null;
    }
    reading = false;
    if (wantsInput()) {
      offerInput();
    } else {
      paused = true;
    }
    if (moving != null) {
      completeMove();
    } else {
      readMore();
    }
  }

  /** No read is begun from within: it would fill the buffer while it is being parsed. */
  private void offerInput() {
    offering = true;
    input.flip();
    int before;
    do {
      before = input.remaining();
      onBytesReceived(input);
    } while (input.remaining() < before
        && input.hasRemaining()
        && !closed
        && moving == null
        && wantsInput());
    paused = input.hasRemaining() && !wantsInput();
    consumed += input.position();
    input.compact();
    if (input.position() == 0) {
      arrivals.allTaken();
    }
    if (input.position() == 0 && input.capacity() > FIRST_BUFFER) {
      network.budget().release(input.capacity() - FIRST_BUFFER);
      input = ByteBuffer.allocate(FIRST_BUFFER);
    }
    offering = false;
  }

  /**
   * A message larger than the buffer: more room within this connection's bound and that of all
   * together.
   */
  private boolean grow() {
    if (input.capacity() == greatestBuffer) {
      onInputOverflow(CloseReason.TOO_LARGE);
      return false;
    }
    if (!enlarge()) {
      onInputOverflow(CloseReason.NO_MEMORY);
      return false;
    }
    return true;
  }

  private boolean enlarge() {
    int wanted = Math.min(greatestBuffer, input.capacity() * 4);
    if (!network.budget().tryAcquire(wanted - input.capacity())) {
      return false;
    }
    ByteBuffer larger = ByteBuffer.allocate(wanted);
    larger.put(input.flip());
    input = larger;
    return true;
  }

  /** Input that can't be taken; a protocol may tell its peer before it closes. */
  protected void onInputOverflow(CloseReason reason) {
    close(reason);
  }

  protected final void write(byte[] bytes) {
    if (!closed && closeWhenWritten == null) {
      output.add(bytes);
      network.loop().flushLater(this);
    }
  }

  /**
   * Ends, in order, a connection of which nothing is owed: stops sending, then reads to the peer's
   * end, within a bound, and closes. What the peer sent until it saw that end is dropped. Not done,
   * and false, where something was read already and only waits for its turn: that may be a request,
   * which was taken.
   */
  protected final boolean tryCloseInOrder(CloseReason reason) {
    if (unprocessedInput || moving != null || isEnding()) {
      return false;
    }
    closeWhenWritten(reason);
    return true;
  }

  /**
   * Writes what is waiting, then closes; nothing more is written, and what still comes is dropped.
   */
  protected final void closeWhenWritten(CloseReason reason) {
    closeWhenWritten = closeWhenWritten == null ? reason : closeWhenWritten;
    if (isOutputEmpty()) {
      startLingering();
    }
  }

  /**
   * Guards the last output: a socket closed with input unread is reset, which may destroy what was
   * just written.
   */
  private void startLingering() {
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      close(closeWhenWritten);
      return;
    }
    onLingering();
    stall = network.loop().scheduleAt(nowMicros() + LINGER, () -> close(closeWhenWritten));
    toDrop = GREATEST_DROPPED;
    if (!reading) {
      discardInput(0);
    }
  }

  /** Nothing more is sent on it; it ends with its peer's end, or after a moment. */
  protected void onLingering() {}

  private void discardInput(int count) {
    toDrop -= count;
    if (toDrop <= 0) {
      close(closeWhenWritten);
      return;
    }
    reading = true;
    input.clear();
    channel.read(input, null, handler(this::onRead, true));
  }

  final void flush() {
    if (closed || !connected || writing != null || output.isEmpty()) {
      return;
    }
    int size = output.stream().mapToInt(b -> b.length).sum();
    writing = ByteBuffer.allocate(size);
    output.forEach(writing::put);
    output.clear();
    writing.flip();
    network.counters().add(Counters.Name.BYTES_OUT, size);
    stall = network.loop().scheduleAt(nowMicros() + STALL, () -> close(CloseReason.WRITE_STALLED));
    channel.write(writing, null, handler(this::onWritten, false));
  }

  private void onWritten(Integer count, Throwable failure) {
    if (failure != null) {
      close(CloseReason.PEER_RESET);
      return;
    }
    if (writing.hasRemaining()) {
      channel.write(writing, null, handler(this::onWritten, false));
      return;
    }
    stall.cancel();
    writing = null;
    if (output.isEmpty()) {
      onOutputWritten();
    }
    if (closed) {
      return;
    }
    if (moving != null && output.isEmpty()) {
      completeMove();
      return;
    }
    network.loop().flushLater(this);
    if (peerEnded != null) {
      close(peerEnded);
    } else if (closeWhenWritten != null && output.isEmpty()) {
      startLingering();
    }
  }

  public final void close(CloseReason reason) {
    if (closed) {
      return;
    }
    closed = true;
    if (stall != null) {
      stall.cancel();
    }
    network.budget().release(input.capacity() - FIRST_BUFFER);
    try {
      channel.close();
    } catch (IOException e) {
      network.log().println("close " + kind + " failed: " + e.getMessage());
    }
    network
        .log()
        .println(
            "end "
                + kind
                + " "
                + describe()
                + (network.tenantId().isEmpty() ? "" : " tenant=" + network.tenantId())
                + " reason="
                + reason.code());
    onClosed(reason);
  }

  /** What the log line says of this connection beside the reason. */
  protected abstract String describe();

  /** Passes a result to the loop thread; one that comes after the end is dropped there. */
  private <T> CompletionHandler<T, Void> handler(BiConsumer<T, Throwable> then, boolean ofRead) {
    return new CompletionHandler<>() {
      @Override
      public void completed(T result, Void none) {
        pass(result, null);
      }

      @Override
      public void failed(Throwable failure, Void none) {
        pass(null, failure);
      }

      private void pass(T result, Throwable failure) {
        if (ofRead) {
          unprocessedInput = true;
        }
        network.post(
            () -> {
              try {
                if (ofRead) {
                  unprocessedInput = false;
                }
                if (!closed) {
                  then.accept(result, failure);
                }
              } catch (RuntimeException e) {
                network.counters().add(Counters.Name.FAULTS);
                e.printStackTrace();
                close(
                    CloseReason
                        .FAULT); // or it would stay open, marked as reading, and never read again
              }
            });
      }
    };
  }
}
