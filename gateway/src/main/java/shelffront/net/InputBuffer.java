package shelffront.net;

import java.nio.ByteBuffer;

/**
 * The bytes that one connection has read and not consumed, with the times at which they came.
 *
 * <p>Invariant: whatever its capacity exceeds {@link #INITIAL_BYTES} is held from the memory budget
 * of the connection's network. Owned by the connection's loop thread, apart from the read into
 * {@link #readTarget} that is outstanding.
 */
final class InputBuffer {

  static final int INITIAL_BYTES = 4096;
  private static final int GROWTH_FACTOR = 4;

  private final int maxBytes;
  private final ArrivalTimes arrivals = new ArrivalTimes();
  private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BYTES);

  /** Bytes of the stream that were consumed before those that the buffer holds. */
  private long consumedBytes;

  InputBuffer(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Where the next read of the channel puts its bytes. */
  ByteBuffer readTarget() {
    return buffer;
  }

  boolean isFull() {
    return !buffer.hasRemaining();
  }

  boolean isAtMaximum() {
    return buffer.capacity() == maxBytes;
  }

  /** Bytes that are held from the memory budget. */
  int budgetedBytes() {
    return buffer.capacity() - INITIAL_BYTES;
  }

  /** Records that the next bytes of the stream have been read. */
  void recordArrival(int byteCount, long timeMicros) {
    arrivals.read(byteCount, timeMicros);
  }

  /** Appends bytes that were read into a buffer of their own. */
  void append(ByteBuffer bytes) {
    buffer.put(bytes);
  }

  /** The unconsumed bytes, to be consumed from their start until {@link #endConsuming}. */
  ByteBuffer beginConsuming() {
    return buffer.flip();
  }

  /** Keeps what was not consumed; an empty buffer returns to its initial size. */
  void endConsuming(ResourceBudget budget) {
    consumedBytes += buffer.position();
    buffer.compact();
    if (buffer.position() > 0) {
      return;
    }
    arrivals.allTaken();
    if (buffer.capacity() > INITIAL_BYTES) {
      budget.release(budgetedBytes());
      buffer = ByteBuffer.allocate(INITIAL_BYTES);
    }
  }

  /** When the byte before the position of the bytes given by {@link #beginConsuming} was read. */
  long arrivalMicros(ByteBuffer bytes) {
    return arrivals.readTime(consumedBytes + bytes.position());
  }

  /** Skips all that it holds; returns how many bytes that were. */
  int discardAll() {
    int discarded = buffer.position();
    consumedBytes += discarded;
    buffer.clear();
    return discarded;
  }

  /** Empties the buffer for bytes that nobody will consume; their count is kept no longer. */
  void clear() {
    buffer.clear();
  }

  /** Whether another {@link #INITIAL_BYTES} fit behind what it holds, growing up to the limit. */
  boolean ensureRoomAhead(int limitBytes, ResourceBudget budget) {
    return buffer.remaining() >= INITIAL_BYTES
        || buffer.capacity() < Math.min(maxBytes, limitBytes) && tryEnlarge(budget);
  }

  /** Grows by one step; false where the budget does not permit it. */
  boolean tryEnlarge(ResourceBudget budget) {
    int wantedBytes = Math.min(maxBytes, buffer.capacity() * GROWTH_FACTOR);
    if (!budget.tryAcquire(wantedBytes - buffer.capacity())) {
      return false;
    }
    ByteBuffer larger = ByteBuffer.allocate(wantedBytes);
    larger.put(buffer.flip());
    buffer = larger;
    return true;
  }
}
