package shelffront.net;

import java.nio.ByteBuffer;
import java.util.function.LongPredicate;

/**
 * The bytes that one connection has read and not yet consumed, with their arrival times.
 *
 * <p>Invariant: the capacity above {@link #INITIAL_BYTES} is acquired from the memory budget of the
 * connection's network. Owned by the connection's loop thread, except for an outstanding read into
 * {@link #readTarget}.
 */
final class InputBuffer {

  static final int INITIAL_BYTES = 4096;
  private static final int GROWTH_FACTOR = 4;

  private final int maxBytes;
  private final ArrivalTimes arrivals = new ArrivalTimes();
  private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BYTES);

  /** Bytes of the stream that were consumed before the first byte in the buffer. */
  private long consumedBytes;

  InputBuffer(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** The buffer that the next read of the channel fills. */
  ByteBuffer readTarget() {
    return buffer;
  }

  boolean isFull() {
    return !buffer.hasRemaining();
  }

  boolean isAtMaximum() {
    return buffer.capacity() >= maxBytes;
  }

  /** Bytes that are acquired from the memory budget. */
  int budgetedBytes() {
    return buffer.capacity() - INITIAL_BYTES;
  }

  /** Records that the next bytes of the stream were read at this time. */
  void recordArrival(int byteCount, long timeMicros) {
    arrivals.recordRead(byteCount, timeMicros);
  }

  /** Appends bytes that were read into a separate buffer. */
  void append(ByteBuffer bytes) {
    buffer.put(bytes);
  }

  /** Returns the unconsumed bytes, to be consumed from the start until {@link #endConsuming}. */
  ByteBuffer beginConsuming() {
    return buffer.flip();
  }

  /**
   * Keeps unconsumed bytes. A buffer that is empty, or has few bytes left, becomes small again;
   * {@link #INITIAL_BYTES} more fit into it, since a read ahead may be outstanding.
   */
  void endConsuming(ResourceBudget budget) {
    consumedBytes += buffer.position();
    buffer.compact();
    int leftBytes = buffer.position();
    if (leftBytes == 0) {
      arrivals.clear();
    }
    int smallBytes = leftBytes == 0 ? INITIAL_BYTES : 2 * INITIAL_BYTES;
    if (leftBytes <= INITIAL_BYTES && buffer.capacity() > smallBytes) {
      budget.release(buffer.capacity() - smallBytes);
      buffer = ByteBuffer.allocate(smallBytes).put(buffer.flip());
    }
  }

  /**
   * Returns when the last byte consumed from {@code bytes} was read from the socket. {@code bytes}
   * must be the buffer that {@link #beginConsuming} returned.
   */
  long arrivalMicros(ByteBuffer bytes) {
    return arrivals.readTimeMicros(consumedBytes + bytes.position());
  }

  /** Discards all bytes in the buffer and returns their number. */
  int discardAll() {
    int discarded = buffer.position();
    consumedBytes += discarded;
    buffer.clear();
    return discarded;
  }

  /**
   * Empties the buffer to receive bytes that will be discarded; stream offsets are no longer
   * counted.
   */
  void clear() {
    buffer.clear();
  }

  /**
   * Whether {@link #INITIAL_BYTES} more fit into the buffer, enlarged up to the limit if needed.
   * The limit may exceed that of a single message.
   */
  boolean ensureRoomAhead(int limitBytes, LongPredicate acquireFromBudget) {
    return buffer.remaining() >= INITIAL_BYTES
        || buffer.capacity() < limitBytes && tryEnlarge(limitBytes, acquireFromBudget);
  }

  /** Enlarges the buffer by one step; returns false if the budget does not permit it. */
  boolean tryEnlarge(LongPredicate acquireFromBudget) {
    return tryEnlarge(maxBytes, acquireFromBudget);
  }

  private boolean tryEnlarge(int limitBytes, LongPredicate acquireFromBudget) {
    int newCapacityBytes = Math.min(limitBytes, buffer.capacity() * GROWTH_FACTOR);
    if (!acquireFromBudget.test(newCapacityBytes - buffer.capacity())) {
      return false;
    }
    ByteBuffer larger = ByteBuffer.allocate(newCapacityBytes);
    larger.put(buffer.flip());
    buffer = larger;
    return true;
  }
}
