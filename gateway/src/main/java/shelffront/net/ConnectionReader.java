package shelffront.net;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;

/**
 * The reading side of a {@link Connection}: starts reads, offers what they brought to the
 * connection, and discards what comes while it lingers.
 *
 * <p>Invariants: at most one read is outstanding; while the connection wants no input, that read
 * goes into a buffer of its own, so that the peer's end is seen behind input that waits. Runs on
 * the connection's loop thread.
 */
final class ConnectionReader {

  /** How much is read ahead of what is wanted, only to see the peer's end behind it. */
  private static final int MAX_READ_AHEAD_BYTES = 192 * 1024;

  private static final int MAX_DISCARDED_BYTES = 1 << 20;

  private final Connection connection;
  private final AsynchronousSocketChannel channel;
  private final InputBuffer input;
  private boolean reading;

  /** The outstanding read is not into the input but into the read-ahead buffer. */
  private boolean readingAhead;

  /** Null while no read ahead is outstanding. */
  private ByteBuffer readAheadBuffer;

  private boolean offeringInput;

  /** What was read is not all consumed, since no more input was wanted. */
  private boolean inputPaused;

  /** Bytes that may still be read and discarded while the connection lingers. */
  private int lingerBytesLeft;

  /** Bytes discarded so far because {@link Connection#discardsInput}. */
  private long discardedBytes;

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

  /** Offers what was read whether or not anything was left when input was last wanted; reads on. */
  void reofferInput() {
    inputPaused = true;
    readMore();
  }

  /** Offers input that waits and is wanted now, then starts a read where none is outstanding. */
  void readMore() {
    if (offeringInput
        || !connection.isConnected()
        || connection.isEnding()
        || connection.isMoving()) {
      return;
    }
    if (inputPaused && connection.wantsInput() && (!reading || readingAhead)) {
      // Nothing more may ever come that would have the rest looked at.
      offerInput();
      if (connection.isMoving()) {
        connection.completeMove();
        return;
      }
      if (connection.isClosing()) {
        return;
      }
    }
    if (!reading) {
      startRead();
    }
  }

  private void startRead() {
    if (connection.wantsInput()) {
      if (input.isFull() && !growInput()) {
        return;
      }
      reading = true;
      readInto(input.readTarget());
    } else if (hasRoomToReadAhead()) {
      // What waits in the input may be consumed meanwhile, so this read has a buffer of its own.
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

  /** Whether a read ahead fits behind what waits; where not, the peer's end is seen later. */
  private boolean hasRoomToReadAhead() {
    if (connection.discardsInput()) {
      discardedBytes += input.discardAll();
      inputPaused = false;
      return discardedBytes <= MAX_DISCARDED_BYTES;
    }
    return input.ensureRoomAhead(MAX_READ_AHEAD_BYTES, connection.network.budget());
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
      input.append(readAheadBuffer.flip());
      readAheadBuffer = null;
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

  /** No read is begun from within: it would fill the buffer while it is being parsed. */
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

  /** Makes room for a message larger than the buffer, within this connection's and all bounds. */
  private boolean growInput() {
    if (input.isAtMaximum()) {
      connection.onInputOverflow(CloseReason.TOO_LARGE);
      return false;
    }
    if (!input.tryEnlarge(connection.network.budget())) {
      connection.onInputOverflow(CloseReason.NO_MEMORY);
      return false;
    }
    return true;
  }

  /** From now on what comes is discarded, up to a bound at which the connection closes. */
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
