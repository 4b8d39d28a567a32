package shelffront.net;

/** Derives the memory budget of a process from its heap and from the memory it may use. */
public final class BufferMemory {

  /** Beside buffers, the heap holds connections, sessions, endpoints and garbage. */
  private static final long HEAP_DIVISOR = 3;

  /** Memory of the JVM itself and of an idle gateway's heap. */
  private static final long PROCESS_BYTES = 72L << 20;

  /** The heap grows to about twice the memory that is in use. */
  private static final long GROWTH_DIVISOR = 2;

  private static final long MIN_BYTES = 2L << 20;

  private BufferMemory() {}

  /**
   * Returns the bytes that larger buffers, queued commands and responses may use together.
   *
   * @param heapBytes the largest size of the heap
   * @param processBytes the memory that the process may use; 0 if it is not limited
   */
  public static long budgetBytes(long heapBytes, long processBytes) {
    long ofHeap = heapBytes / HEAP_DIVISOR;
    long ofProcess = processBytes == 0 ? ofHeap : (processBytes - PROCESS_BYTES) / GROWTH_DIVISOR;
    return Math.max(MIN_BYTES, Math.min(ofHeap, ofProcess));
  }
}
