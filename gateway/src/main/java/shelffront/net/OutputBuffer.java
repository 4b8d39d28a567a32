package shelffront.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * The output of one connection: byte arrays that wait, and at most one write that is outstanding.
 * Owned by the connection's loop thread.
 */
final class OutputBuffer {

  private final ArrayDeque<byte[]> queued = new ArrayDeque<>();

  /** The bytes of the outstanding write; null where none is. */
  private ByteBuffer inFlight;

  void add(byte[] bytes) {
    queued.add(bytes);
  }

  /** Nothing waits and nothing is being written. */
  boolean isEmpty() {
    return inFlight == null && queued.isEmpty();
  }

  boolean hasQueued() {
    return !queued.isEmpty();
  }

  boolean isWriting() {
    return inFlight != null;
  }

  /** Joins all that waits into one write. */
  ByteBuffer beginWrite() {
    inFlight = ByteBuffer.allocate(queued.stream().mapToInt(bytes -> bytes.length).sum());
    queued.forEach(inFlight::put);
    queued.clear();
    return inFlight.flip();
  }

  /** What is left of the outstanding write. */
  ByteBuffer inFlight() {
    return inFlight;
  }

  void endWrite() {
    inFlight = null;
  }
}
