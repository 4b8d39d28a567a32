package shelffront.statistics;

/**
 * How many requests a member may have at a time: it grows by what is answered well and is cut by
 * what is not, at most once in an answer time. Under one it spaces requests out instead.
 */
public final class ConcurrencyLimit {

  private static final double MOST = 200;
  private static final double LEAST = 0.05;

  private double limit;
  private double cutAt = Double.NEGATIVE_INFINITY;

  /** A window that was never opened takes this size; one that was keeps what it learned. */
  public void initialize(double first) {
    limit = limit > 0 ? limit : first;
  }

  /**
   * Whether one more has room in a part of the window, with so many out and an answer time in
   * microseconds.
   */
  public boolean hasCapacity(long now, double part, int out, long sentAt, double took) {
    double size = limit * part;
    return out < size && (size >= 1 || now > sentAt + took / size);
  }

  /** An answer came as it should while so many were out. */
  public void increase(int out) {
    if (out + 1 >= limit * 0.7) {
      limit = Math.min(MOST, limit + Math.min(0.2, 1 / limit));
    }
  }

  /** Answers are late, or none came. */
  public void decrease(long now, double took, double factor) {
    if (now - cutAt > took) {
      cutAt = now;
      limit = Math.max(LEAST, limit * factor);
    }
  }

  /** The member is left out for a while: it begins with half, and with one at least. */
  public void halve() {
    limit = Math.max(1, limit / 2);
  }
}
