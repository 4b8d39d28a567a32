package shelffront.distribution;

/**
 * How old a view may be at most. What an answer says held when it was made, and nobody knows how
 * long it was on its way: an answer may lie in the buffer of a process that was stopped for
 * minutes. So its age counts from when its question was sent, by the monotonic clock of whoever
 * asked, plus the age that it states itself.
 *
 * <p>Invariant: a later confirmation never makes the view older. Times are microseconds. Threads:
 * guarded by its owner.
 */
public final class Staleness {

  /** The age of a view that was never confirmed. */
  public static final long NEVER = Long.MAX_VALUE;

  private boolean confirmed;
  private long currentAsOfMicros;

  /**
   * An answer has come to a question sent at this time, from somebody whose own view had this age.
   */
  public void confirm(long sentAtMicros, long statedAgeMicros) {
    if (statedAgeMicros == NEVER) {
      return;
    }
    long asOfMicros = sentAtMicros - statedAgeMicros;
    currentAsOfMicros = confirmed ? Math.max(currentAsOfMicros, asOfMicros) : asOfMicros;
    confirmed = true;
  }

  /** The greatest age that the view may have; {@link #NEVER} before it was confirmed. */
  public long maxAgeMicros(long nowMicros) {
    return confirmed ? nowMicros - currentAsOfMicros : NEVER;
  }
}
