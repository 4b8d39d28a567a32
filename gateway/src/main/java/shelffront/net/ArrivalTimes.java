package shelffront.net;

import java.util.ArrayDeque;

/**
 * When the bytes of a stream were read from the socket, by their offset in the stream. A command
 * may be parsed long after it was read, since the commands before it come first; its time counts
 * from when its last byte was read.
 *
 * <p>Bounded: once {@link #MAX_READS} reads are kept, each two neighbouring ones become one with
 * the earlier time. An arrival may then be taken for earlier than it was, and never for later.
 */
final class ArrivalTimes {

  static final int MAX_READS = 64;

  /** One read: the offset behind its last byte, and when it was made. */
  private record Read(long endOffset, long atMicros) {}

  private final ArrayDeque<Read> reads = new ArrayDeque<>(2);
  private long endOffset;

  /** The next bytes of the stream were read at this time. */
  void read(int count, long atMicros) {
    if (reads.size() == MAX_READS) {
      mergeNeighbours();
    }
    endOffset += count;
    reads.addLast(new Read(endOffset, atMicros));
  }

  private void mergeNeighbours() {
    for (int pairs = reads.size() / 2; pairs > 0; pairs--) {
      long atMicros = reads.removeFirst().atMicros();
      reads.addLast(new Read(reads.removeFirst().endOffset(), atMicros));
    }
  }

  /** Every byte was taken; nothing of what was read is asked for again. */
  void allTaken() {
    reads.clear();
  }

  /**
   * When the byte before this offset was read. What lies before the offset is forgotten, so the
   * offsets asked for must not step back.
   */
  long readTime(long offset) {
    while (reads.peekFirst().endOffset() < offset) {
      reads.removeFirst();
    }
    return reads.peekFirst().atMicros();
  }
}
