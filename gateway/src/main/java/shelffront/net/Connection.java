package shelffront.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.function.BiConsumer;

/**
 * One socket with its input and output, whatever protocol is spoken on it.
 *
 * <p>Invariants: every method runs on the loop thread, {@link #hasUnprocessedInput} apart; at most
 * one read and one write are outstanding; a connection ends exactly once, by {@link #close}, which
 * writes its line to the log and then calls {@link #onClosed}.
 */
public abstract class Connection {

  /** How long a connection in its lingering close waits for the peer's end. */
  private static final long LINGER_MICROS = 500_000;

  /** A peer that takes none of a write for so long is given up. */
  private static final long WRITE_STALL_MICROS = 10_000_000;

  /** A move to another loop: the loop's network, and the first task of the connection there. */
  private record LoopMove(Network target, Runnable firstTask) {}

  protected Network network;
  private final String kind;
  private final AsynchronousSocketChannel channel;
  private final ConnectionReader reader;
  private final OutputBuffer output = new OutputBuffer();
  private EventLoop.Deadline stallDeadline;
  private boolean connected;

  /** What a read brought waits for its turn on the loop. Set by the completion thread. */
  private volatile boolean unprocessedInput;

  private CloseReason peerEndReason;
  private CloseReason closeWhenWrittenReason;
  private LoopMove pendingMove;
  private boolean closed;

  protected Connection(
      Network network, String kind, AsynchronousSocketChannel channel, int maxInputBytes) {
    this.network = network;
    this.kind = kind;
    this.channel = channel;
    reader = new ConnectionReader(this, channel, maxInputBytes);
  }

  /** Takes bytes that were read; what is left unconsumed is offered again with what follows. */
  protected abstract void onBytesReceived(ByteBuffer bytes);

  /** All output was handed to the socket. */
  protected void onOutputWritten() {}

  /** Nothing of it is outstanding on the present loop, which it leaves now. */
  protected void onLeavingLoop() {}

  /** Nothing more is sent on it; it ends with its peer's end, or after a bounded time. */
  protected void onLingering() {}

  /** Called once, after the socket was closed. */
  protected abstract void onClosed(CloseReason reason);

  /** Input that exceeds a bound; a protocol may send an error to its peer before it closes. */
  protected void onInputOverflow(CloseReason reason) {
    close(reason);
  }

  /** What the log line says of this connection beside the reason. */
  protected abstract String describe();

  /**
   * Whether to take what was read; a connection that says no calls {@link #readMore} later. Reading
   * goes on ahead of that, as far as there is room, so that the peer's end is seen behind what
   * waits.
   */
  protected boolean wantsInput() {
    return true;
  }

  /** Whether what is read is of no use any more; the peer's end is still seen. */
  protected boolean discardsInput() {
    return false;
  }

  /**
   * When the last byte taken from what {@link #onBytesReceived} was given had been read from the
   * socket. Bytes may have stood in the buffer for long by then, behind commands that come first.
   */
  protected final long arrivalMicrosOfConsumed(ByteBuffer bytes) {
    return reader.input().arrivalMicros(bytes);
  }

  /** Whether bytes, or the peer's end, were read and wait for their turn on the loop. */
  public final boolean hasUnprocessedInput() {
    return unprocessedInput;
  }

  final void setUnprocessedInput(boolean unprocessed) {
    unprocessedInput = unprocessed;
  }

  /**
   * Whether it is ending: its peer has ended, or its last output is out or being written. Nothing
   * is begun for it.
   */
  protected final boolean isEnding() {
    return closed || closeWhenWrittenReason != null || peerEndReason != null;
  }

  public final boolean isClosed() {
    return closed;
  }

  /** Whether it is closed or will be once its output is written. */
  final boolean isClosing() {
    return closed || closeWhenWrittenReason != null;
  }

  final boolean isConnected() {
    return connected;
  }

  final boolean isMoving() {
    return pendingMove != null;
  }

  /** Nothing waits to be written. */
  protected final boolean isOutputEmpty() {
    return output.isEmpty();
  }

  protected final long nowMicros() {
    return network.loop().nowMicros();
  }

  /**
   * Makes it part of another view of the same loop, a tenant's.
   *
   * @return false, with nothing changed, where that view's budget has no room for its buffer
   */
  protected final boolean tryJoinTenant(Network tenantNetwork) {
    long budgetedBytes = reader.input().budgetedBytes();
    if (!tenantNetwork.budget().tryAcquire(budgetedBytes)) {
      return false;
    }
    network.budget().release(budgetedBytes);
    network = tenantNetwork;
    return true;
  }

  /**
   * Moves to another loop, once what is being read is parsed and what was written has gone out:
   * from then on nothing of it is on this one, and {@code firstTask} runs on that one, as its first
   * turn. Neither loop has it in between.
   */
  protected final void moveToLoop(Network target, Runnable firstTask) {
    pendingMove = new LoopMove(target, firstTask);
  }

  final void completeMove() {
    if (pendingMove == null || reader.isReading() || !isOutputEmpty()) {
      return;
    }
    network.loop().cancelFlush(this);
    if (stallDeadline != null) {
      stallDeadline.cancel();
    }
    LoopMove move = pendingMove;
    pendingMove = null;
    onLeavingLoop();
    network = move.target();
    network.loop().post(move.firstTask());
  }

  /** Goes on after a move, on the new loop: with what had been read before, then what comes. */
  protected final void resumeAfterMove() {
    reader.offerInput();
    reader.readMore();
  }

  /** Offers what was read whether or not anything was left when input was last wanted; reads on. */
  protected final void reofferInput() {
    reader.reofferInput();
  }

  protected final void connect(SocketAddress address) {
    channel.connect(address, null, onCompletion(this::onConnected));
  }

  private void onConnected(Void none, Throwable failure) {
    if (failure != null) {
      close(CloseReason.CONNECT_FAILED);
    } else {
      startReading();
    }
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

  /** Offers input that waits and is wanted now, then starts a read where none is outstanding. */
  protected final void readMore() {
    reader.readMore();
  }

  /**
   * Whether a request was written whole is known only when the outstanding write has ended. A
   * peer's end may be seen before that, and taken alone would pass for "not executed"; until then
   * nothing is begun.
   */
  final void onPeerEnd(CloseReason reason) {
    peerEndReason = reason;
    if (!output.isWriting()) {
      close(closeWhenWrittenReason != null ? closeWhenWrittenReason : peerEndReason);
    }
  }

  /** Queues bytes; they are written when the loop's turn ends. */
  protected final void write(byte[] bytes) {
    if (!closed && closeWhenWrittenReason == null) {
      output.add(bytes);
      network.loop().flushLater(this);
    }
  }

  final void flush() {
    if (closed || !connected || output.isWriting() || !output.hasQueued()) {
      return;
    }
    ByteBuffer bytes = output.beginWrite();
    network.counters().add(Counters.Name.BYTES_OUT, bytes.remaining());
    stallDeadline =
        network
            .loop()
            .scheduleAt(nowMicros() + WRITE_STALL_MICROS, () -> close(CloseReason.WRITE_STALLED));
    channel.write(bytes, null, onCompletion(this::onWritten));
  }

  private void onWritten(Integer byteCount, Throwable failure) {
    if (failure != null) {
      close(CloseReason.PEER_RESET);
      return;
    }
    if (output.inFlight().hasRemaining()) {
      channel.write(output.inFlight(), null, onCompletion(this::onWritten));
      return;
    }
    stallDeadline.cancel();
    output.endWrite();
    if (!output.hasQueued()) {
      onOutputWritten();
    }
    if (closed) {
      return;
    }
    if (pendingMove != null && !output.hasQueued()) {
      completeMove();
      return;
    }
    network.loop().flushLater(this);
    if (peerEndReason != null) {
      close(peerEndReason);
    } else if (closeWhenWrittenReason != null && !output.hasQueued()) {
      startLingering();
    }
  }

  /**
   * Ends, in order, a connection of which nothing is owed: stops sending, then reads to the peer's
   * end, within a bound, and closes. What the peer sent until it saw that end is discarded.
   *
   * @return false, with nothing done, where something was read already and only waits for its turn:
   *     that may be a request, which was taken
   */
  protected final boolean tryCloseInOrder(CloseReason reason) {
    if (unprocessedInput || pendingMove != null || isEnding()) {
      return false;
    }
    closeWhenWritten(reason);
    return true;
  }

  /** Writes what waits, then closes; nothing more is written, and what comes is discarded. */
  protected final void closeWhenWritten(CloseReason reason) {
    closeWhenWrittenReason = closeWhenWrittenReason == null ? reason : closeWhenWrittenReason;
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
      close(closeWhenWrittenReason);
      return;
    }
    onLingering();
    stallDeadline =
        network.loop().scheduleAt(nowMicros() + LINGER_MICROS, this::closeAfterLingering);
    reader.startDiscarding();
  }

  final void closeAfterLingering() {
    close(closeWhenWrittenReason);
  }

  /** Closes the socket at once; without effect on a connection that is closed already. */
  public final void close(CloseReason reason) {
    if (closed) {
      return;
    }
    closed = true;
    if (stallDeadline != null) {
      stallDeadline.cancel();
    }
    network.budget().release(reader.input().budgetedBytes());
    try {
      channel.close();
    } catch (IOException e) {
      network.log().println("close " + kind + " failed: " + e.getMessage());
    }
    network.log().println(closeLine(reason));
    onClosed(reason);
  }

  private String closeLine(CloseReason reason) {
    String tenant = network.tenantId().isEmpty() ? "" : " tenant=" + network.tenantId();
    return "end " + kind + " " + describe() + tenant + " reason=" + reason.code();
  }

  private <T> PostingCompletionHandler<T> onCompletion(BiConsumer<T, Throwable> consumer) {
    return new PostingCompletionHandler<>(this, false, consumer);
  }
}
