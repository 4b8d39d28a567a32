package shelffront.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * The output of one connection: queued byte arrays, and at most one outstanding write. Owned by the
 * connection's loop thread.
 */
final class OutputBuffer {

  private final ArrayDeque<byte[]> queued = new ArrayDeque<>();

  /** The bytes of the outstanding write; null if there is none. */
  private ByteBuffer inFlight;

  void add(byte[] bytes) {
    queued.add(bytes);
  }

  /** Whether nothing is queued and nothing is being written. */
  boolean isEmpty() {
    return inFlight == null && queued.isEmpty();
  }

  boolean hasQueued() {
    return !queued.isEmpty();
  }

  boolean isWriting() {
    return inFlight != null;
  }

  /** Joins all queued output into one write. */
  ByteBuffer beginWrite() {
    inFlight = ByteBuffer.allocate(queued.stream().mapToInt(bytes -> bytes.length).sum());
    queued.forEach(inFlight::put);
    queued.clear();
    return inFlight.flip();
  }

  /** The remaining bytes of the outstanding write; null if there is none. */
  ByteBuffer inFlight() {
    return inFlight;
  }

  void endWrite() {
    inFlight = null;
  }
}
