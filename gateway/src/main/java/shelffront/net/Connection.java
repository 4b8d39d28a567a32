package shelffront.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.function.BiConsumer;

/**
 * One socket with its input and output, independent of the protocol.
 *
 * <p>Invariants: every method except {@link #hasUnprocessedInput} and its setter runs on the loop
 * thread; at most one read and one write are outstanding; a connection ends exactly once, in {@link
 * #close}, which logs the reason and then calls {@link #onClosed}.
 */
public abstract class Connection {

  /** Time that a lingering close waits for the peer to close. */
  private static final long LINGER_MICROS = 500_000;

  /** A peer that does not accept a whole write within this time is disconnected. */
  private static final long WRITE_STALL_MICROS = 10_000_000;

  /** A move to another loop: that loop's network, and the connection's first task there. */
  private record LoopMove(Network target, Runnable firstTask) {}

  protected Network network;
  private final String kind;
  private final AsynchronousSocketChannel channel;
  private final ConnectionReader reader;
  private final OutputBuffer output = new OutputBuffer();
  private EventLoop.Deadline stallDeadline;
  private boolean connected;

  /** Whether the result of a read waits for its turn on the loop. Set by the completion thread. */
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

  /** Consumes bytes that were read. Unconsumed bytes are offered again with those that follow. */
  protected abstract void onBytesReceived(ByteBuffer bytes);

  /** Called when all output has been written to the socket. */
  protected void onOutputWritten() {}

  /** Called before the connection leaves its current loop, where no operation is outstanding. */
  protected void onLeavingLoop() {}

  /**
   * Called when a lingering close begins: nothing more is sent, and the connection closes when the
   * peer closes or after a bounded time.
   */
  protected void onLingering() {}

  /** Called exactly once, after the socket was closed. */
  protected abstract void onClosed(CloseReason reason);

  /**
   * Called when input exceeds a size limit or the memory budget. A protocol may override this to
   * send an error to its peer before it closes.
   */
  protected void onInputOverflow(CloseReason reason) {
    close(reason);
  }

  /**
   * Called when no more unconsumed input fits, and for all input while {@link #givesUpInput}. It
   * may consume bytes unprocessed, so that reading goes on and the peer's close is detected.
   */
  protected void giveUpInput(ByteBuffer bytes) {}

  /** Whether input is given up as it arrives. */
  protected boolean givesUpInput() {
    return false;
  }

  /** Called when input was given up and the socket has no more. */
  protected void onInputCaughtUp() {}

  /** Whether very much input is read at a limited rate, so that a close may be detected late. */
  public final boolean isReadBehind() {
    return reader.isBehind();
  }

  /** Acquires memory for input that exceeds the buffer that every connection has. */
  protected boolean tryAcquireInputMemory(long bytes) {
    return network.budget().tryAcquire(bytes);
  }

  /** Describes this connection in its log line, without kind, tenant and reason. */
  protected abstract String describe();

  /**
   * Whether the connection can consume input now. A connection that returns false calls {@link
   * #readMore} later. Meanwhile, reading ahead continues as far as there is room, so that the
   * peer's close is detected behind unconsumed input.
   */
  protected boolean wantsInput() {
    return true;
  }

  /**
   * Whether a read may be started. While it may not, input stays in the system's buffer, and the
   * peer's close is not detected. A lingering close reads all the same.
   */
  protected boolean mayStartRead() {
    return true;
  }

  /** Whether all further input is discarded, while the peer's close is still detected. */
  protected boolean discardsInput() {
    return false;
  }

  /**
   * Returns the time in microseconds at which the last byte consumed from the argument of {@link
   * #onBytesReceived} was read from the socket. Bytes may wait in the buffer for a long time,
   * behind earlier commands.
   */
  protected final long arrivalMicrosOfConsumed(ByteBuffer bytes) {
    return reader.input().arrivalMicros(bytes);
  }

  /** Whether bytes or the peer's close were read and not yet processed. Any thread may call. */
  public final boolean hasUnprocessedInput() {
    return unprocessedInput;
  }

  final void setUnprocessedInput(boolean unprocessed) {
    unprocessedInput = unprocessed;
  }

  /**
   * Whether the connection is closed or about to close, because of its peer or because its last
   * output is queued or written. Nothing new may be started on it.
   */
  protected final boolean isEnding() {
    return closed || closeWhenWrittenReason != null || peerEndReason != null;
  }

  public final boolean isClosed() {
    return closed;
  }

  /** Whether the connection is closed or will close once its output is written. */
  final boolean isClosing() {
    return closed || closeWhenWrittenReason != null;
  }

  final boolean isConnected() {
    return connected;
  }

  final boolean isMoving() {
    return pendingMove != null;
  }

  /** Whether no output is queued or being written. */
  protected final boolean isOutputEmpty() {
    return output.isEmpty();
  }

  protected final long nowMicros() {
    return network.loop().nowMicros();
  }

  /**
   * Moves the connection to a tenant's view of the network on the same loop.
   *
   * @return false, with nothing changed, if that view's memory budget has no room for the buffer
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
   * Moves the connection to another loop, once the outstanding read is parsed and all output is
   * written. Then {@code firstTask} runs on the other loop as the connection's first task there. In
   * between, neither loop uses the connection.
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

  /** Resumes on the new loop after a move, first with the input that was read before it. */
  protected final void resumeAfterMove() {
    reader.offerInput();
    reader.readMore();
  }

  /**
   * Offers the buffered input, even if none was left over when input was last wanted, and continues
   * to read.
   */
  protected final void reofferInput() {
    reader.reofferInput();
  }

  protected final void connect(SocketAddress address) {
    channel.connect(address, null, onCompletion(this::onConnected));
  }

  private void onConnected(Void ignored, Throwable failure) {
    if (failure != null) {
      close(CloseReason.CONNECT_FAILED);
    } else {
      startReading();
    }
  }

  /** Starts reading from a connected channel. */
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

  /** Offers buffered input if it is wanted now, then starts a read if none is outstanding. */
  protected final void readMore() {
    reader.readMore();
  }

  /**
   * Closes the connection after its peer has closed, once the outstanding write has ended. Only
   * then is it known whether a request was written completely; closing earlier could make an
   * executed request look like one that was not executed. Nothing new is started until then.
   */
  final void onPeerEnd(CloseReason reason) {
    peerEndReason = reason;
    if (!output.isWriting()) {
      close(closeWhenWrittenReason != null ? closeWhenWrittenReason : peerEndReason);
    }
  }

  /** Queues bytes to be written at the end of the loop's turn; ignored if it is closing. */
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
   * Closes gracefully a connection that has no request in progress: shuts down its output, reads
   * until the peer closes or a limit is reached, and closes. Input that the peer sends until then
   * is discarded.
   *
   * @return false, with nothing done, if the connection is moving or ending, or if input was read
   *     that waits for its turn on the loop, because it may contain a request
   */
  protected final boolean tryCloseGracefully(CloseReason reason) {
    if (unprocessedInput || pendingMove != null || isEnding()) {
      return false;
    }
    closeWhenWritten(reason);
    return true;
  }

  /**
   * Writes the queued output, then closes. Later output is ignored, and input is discarded once the
   * output is written.
   */
  protected final void closeWhenWritten(CloseReason reason) {
    closeWhenWrittenReason = closeWhenWrittenReason == null ? reason : closeWhenWrittenReason;
    if (isOutputEmpty()) {
      startLingering();
    }
  }

  /**
   * Starts a lingering close. Closing a socket with unread input resets it, which may destroy
   * output that the peer has not received yet.
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

  /** Closes the socket immediately; has no effect on a closed connection. */
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
      network.log().println("failed to close " + kind + " connection: " + e.getMessage());
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
