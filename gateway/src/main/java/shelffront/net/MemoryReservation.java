package shelffront.net;

import java.util.function.LongPredicate;

/**
 * The memory that a connection holds for messages. A small allowance belongs to each connection and
 * is always available; only what exceeds it is charged to a budget, which others may exhaust. Used
 * on the loop thread.
 */
public final class MemoryReservation {

  /** Fits a usual request or response. The number of connections bounds the sum. */
  public static final int ALLOWANCE_BYTES = 4096;

  private int heldBytes;

  /** Bytes held, including the allowance. */
  public int heldBytes() {
    return heldBytes;
  }

  /** Holds more bytes; false, with nothing changed, if the budget has no room for them. */
  public boolean tryAdd(int bytes, LongPredicate acquireFromBudget) {
    long additional = charged(heldBytes + bytes) - charged(heldBytes);
    if (additional > 0 && !acquireFromBudget.test(additional)) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  /** Releases all but the given number of bytes. */
  public void reduceTo(int bytes, ResourceBudget budget) {
    budget.release(charged(heldBytes) - charged(bytes));
    heldBytes = bytes;
  }

  private static long charged(int bytes) {
    return Math.max(0, bytes - ALLOWANCE_BYTES);
  }
}
