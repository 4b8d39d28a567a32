package shelffront.net;

import java.util.ArrayDeque;

/**
 * Records when the bytes of a stream were read from the socket, by their offset in the stream. A
 * command may be parsed long after it was read, because the commands before it come first; its
 * arrival time is the time at which its last byte was read.
 *
 * <p>At most {@link #MAX_READS} reads are kept. When that limit is reached, each pair of adjacent
 * reads is merged into one with the earlier time, so a reported arrival time may be too early but
 * is never too late. Used on one thread only.
 */
final class ArrivalTimes {

  static final int MAX_READS = 64;

  /** One read: the offset after its last byte, and its time. */
  private record Read(long endOffset, long timeMicros) {}

  private final ArrayDeque<Read> reads = new ArrayDeque<>(2);
  private long endOffset;

  /** Records that the next bytes of the stream were read at this time. */
  void recordRead(int byteCount, long timeMicros) {
    if (reads.size() == MAX_READS) {
      mergeAdjacentReads();
    }
    endOffset += byteCount;
    reads.addLast(new Read(endOffset, timeMicros));
  }

  private void mergeAdjacentReads() {
    for (int pairsLeft = reads.size() / 2; pairsLeft > 0; pairsLeft--) {
      long timeMicros = reads.removeFirst().timeMicros();
      reads.addLast(new Read(reads.removeFirst().endOffset(), timeMicros));
    }
  }

  /** Discards the recorded reads once every byte has been consumed; offsets continue to count. */
  void clear() {
    reads.clear();
  }

  /**
   * Returns the time in microseconds at which the byte before this offset was read. Discards the
   * reads that end before the offset, so offsets must not decrease from call to call.
   */
  long readTimeMicros(long offset) {
    while (reads.peekFirst().endOffset() < offset) {
      reads.removeFirst();
    }
    return reads.peekFirst().timeMicros();
  }
}
