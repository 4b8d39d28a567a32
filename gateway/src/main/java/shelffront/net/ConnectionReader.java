package shelffront.net;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;

/**
 * The reading side of a {@link Connection}: starts reads, offers the bytes to the connection, and
 * discards input during a lingering close.
 *
 * <p>Invariants: at most one read is outstanding; while the connection wants no input, that read
 * uses a separate buffer, so that the peer's close is detected behind unconsumed input. Input that
 * does not fit is given up; a peer that sends very much of it is read at a limited rate, and {@link
 * #isBehind} until all of it has been read. Runs on the connection's loop thread.
 */
final class ConnectionReader {

  /** Limit of the input that is kept while the connection wants none. */
  private static final int MAX_READ_AHEAD_BYTES = 1 << 20;

  private static final int MAX_DISCARDED_BYTES = 1 << 20;

  /** Input that may be given up or discarded in a burst before the rate is limited. */
  private static final int MAX_UNPACED_BYTES = 1 << 20;

  /** Input that may be given up or discarded in each second without counting. */
  private static final int UNPACED_BYTES_PER_SECOND = 1 << 18;

  private static final long MICROS_PER_SECOND = 1_000_000;

  /** Time between reads beyond {@link #MAX_UNPACED_BYTES}, so that such a peer costs little. */
  private static final long PACED_READ_INTERVAL_MICROS = 20_000;

  private final Connection connection;
  private final AsynchronousSocketChannel channel;
  private final InputBuffer input;
  private boolean reading;

  /** Whether the outstanding read fills the read-ahead buffer instead of the input buffer. */
  private boolean readingAhead;

  /** Null while no read ahead is outstanding. */
  private ByteBuffer readAheadBuffer;

  /** The value of {@link #unusedBytes()} at {@link #unusedAtMicros}. */
  private long unusedBytes;

  private long unusedAtMicros;

  /** Whether such input is read at a limited rate, so that more of it may wait in the socket. */
  private boolean behind;

  /** While {@link #behind}, the time of the next read. */
  private long nextReadAtMicros;

  private boolean offeringInput;

  /** Whether input is left unconsumed because the connection wanted no more. */
  private boolean inputPaused;

  /** Bytes that may still be read and discarded during the lingering close. */
  private int lingerBytesLeft;

  ConnectionReader(Connection connection, AsynchronousSocketChannel channel, int maxInputBytes) {
    this.connection = connection;
    this.channel = channel;
    input = new InputBuffer(maxInputBytes);
  }

  InputBuffer input() {
    return input;
  }

  boolean isReading() {
    return reading;
  }

  /**
   * Offers the buffered input, even if none was left over when input was last wanted, and continues
   * to read.
   */
  void reofferInput() {
    inputPaused = true;
    readMore();
  }

  /** Offers buffered input if it is wanted now, then starts a read if none is outstanding. */
  void readMore() {
    if (offeringInput
        || !connection.isConnected()
        || connection.isEnding()
        || connection.isMoving()) {
      return;
    }
    if (inputPaused && connection.wantsInput() && (!reading || readingAhead)) {
      // The peer may send nothing more, so no later read would offer the rest of the input.
      offerInput();
      if (connection.isMoving()) {
        connection.completeMove();
        return;
      }
      if (connection.isClosing()) {
        return;
      }
    }
    if (!reading && connection.mayStartRead() && connection.nowMicros() >= nextReadAtMicros) {
      startRead();
    }
  }

  /** Whether the peer has sent input that was not read yet and may have closed behind it. */
  boolean isBehind() {
    return behind;
  }

  private void startRead() {
    if (connection.wantsInput()) {
      if (input.isFull() && !growInput()) {
        return;
      }
      reading = true;
      readInto(input.readTarget());
    } else if (hasRoomToReadAhead()) {
      // The input buffer may be consumed during this read, so the read uses a separate buffer.
      readAheadBuffer =
          readAheadBuffer == null
              ? ByteBuffer.allocate(InputBuffer.INITIAL_BYTES)
              : readAheadBuffer.clear();
      reading = true;
      readingAhead = true;
      readInto(readAheadBuffer);
    }
  }

  private void readInto(ByteBuffer target) {
    channel.read(target, null, new PostingCompletionHandler<>(connection, true, this::onRead));
  }

  /**
   * Whether a read ahead fits behind the unconsumed input, of which the connection may give up some
   * for it. If it does not fit, the peer's close is detected later.
   */
  private boolean hasRoomToReadAhead() {
    if (connection.discardsInput()) {
      addUnused(input.discardAll());
      inputPaused = false;
      return true;
    }
    if (ensureRoomAhead()) {
      return true;
    }
    giveUpInput();
    return ensureRoomAhead();
  }

  private void giveUpInput() {
    offeringInput = true;
    ByteBuffer bytes = input.beginConsuming();
    int bytesBefore = bytes.remaining();
    connection.giveUpInput(bytes);
    addUnused(bytesBefore - bytes.remaining());
    input.endConsuming(connection.network.budget());
    offeringInput = false;
  }

  private boolean ensureRoomAhead() {
    return input.ensureRoomAhead(MAX_READ_AHEAD_BYTES, connection::tryAcquireInputMemory);
  }

  private void onRead(Integer byteCount, Throwable failure) {
    boolean wasReadAhead = readingAhead;
    readingAhead = false;
    if (failure != null || byteCount < 0) {
      reading = false;
      connection.onPeerEnd(failure != null ? CloseReason.PEER_RESET : CloseReason.PEER_CLOSED);
      return;
    }
    connection.network.counters().add(Counters.Name.BYTES_IN, byteCount);
    if (lingerBytesLeft > 0) {
      discardWhileLingering(byteCount);
      return;
    }
    input.recordArrival(byteCount, connection.nowMicros());
    if (wasReadAhead) {
      onReadAhead();
    }
    reading = false;
    if (connection.wantsInput()) {
      offerInput();
    } else {
      inputPaused = true;
    }
    if (connection.isMoving()) {
      connection.completeMove();
    } else {
      readMore();
    }
  }

  private void onReadAhead() {
    boolean socketDrained = readAheadBuffer.hasRemaining();
    input.append(readAheadBuffer.flip());
    readAheadBuffer = null;
    boolean givenUp = connection.givesUpInput();
    if (givenUp) {
      giveUpInput();
    }
    behind = !socketDrained && unusedBytes() > MAX_UNPACED_BYTES;
    nextReadAtMicros = behind ? connection.nowMicros() + PACED_READ_INTERVAL_MICROS : 0;
    if (behind) {
      connection.network.loop().scheduleAt(nextReadAtMicros, this::readMore);
    } else if (givenUp && socketDrained) {
      connection.onInputCaughtUp();
    }
  }

  private void addUnused(int bytes) {
    unusedBytes = unusedBytes() + bytes;
    unusedAtMicros = connection.nowMicros();
  }

  /** Input that was given up or discarded, less what may be in the time since. */
  private long unusedBytes() {
    if (unusedBytes == 0) {
      return 0;
    }
    long sinceLastMicros = connection.nowMicros() - unusedAtMicros;
    long permitted = sinceLastMicros * UNPACED_BYTES_PER_SECOND / MICROS_PER_SECOND;
    return Math.max(0, unusedBytes - permitted);
  }

  /**
   * Offers the buffered input to the connection until it consumes no more. No read starts
   * meanwhile, because it would fill the buffer while the buffer is being parsed.
   */
  void offerInput() {
    offeringInput = true;
    ByteBuffer bytes = input.beginConsuming();
    int remainingBefore;
    do {
      remainingBefore = bytes.remaining();
      connection.onBytesReceived(bytes);
    } while (bytes.remaining() < remainingBefore
        && bytes.hasRemaining()
        && !connection.isClosed()
        && !connection.isMoving()
        && connection.wantsInput());
    inputPaused = bytes.hasRemaining() && !connection.wantsInput();
    input.endConsuming(connection.network.budget());
    offeringInput = false;
  }

  /**
   * Enlarges the buffer for a message that does not fit, within the limit of this connection and
   * the memory budget.
   */
  private boolean growInput() {
    if (input.isAtMaximum()) {
      connection.onInputOverflow(CloseReason.TOO_LARGE);
      return false;
    }
    if (!input.tryEnlarge(connection::tryAcquireInputMemory)) {
      connection.onInputOverflow(CloseReason.NO_MEMORY);
      return false;
    }
    return true;
  }

  /** Discards all further input; at {@link #MAX_DISCARDED_BYTES} the connection closes. */
  void startDiscarding() {
    lingerBytesLeft = MAX_DISCARDED_BYTES;
    if (!reading) {
      discardWhileLingering(0);
    }
  }

  private void discardWhileLingering(int byteCount) {
    lingerBytesLeft -= byteCount;
    if (lingerBytesLeft <= 0) {
      connection.closeAfterLingering();
      return;
    }
    reading = true;
    input.clear();
    readInto(input.readTarget());
  }
}
