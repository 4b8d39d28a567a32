package shelffront.distribution;

/**
 * How old a view may be at most. What an answer says held when it was made, and nobody knows how
 * long it was on its way: an answer may lie in the buffer of a process that was stopped for
 * minutes. So its age counts from when its question was sent, by the monotonic clock of whoever
 * asked, plus the age that it states itself. Times are microseconds.
 */
public final class Staleness {

  /** Of a view that was never confirmed. */
  public static final long NEVER = Long.MAX_VALUE;

  private boolean confirmed;
  private long asOf;

  /**
   * An answer has come to a question sent at this time, from somebody whose own view had this age.
   */
  public void confirm(long sentAt, long statedAge) {
    if (statedAge == NEVER) {
      return;
    }
    long at = sentAt - statedAge;
    asOf = confirmed ? Math.max(asOf, at) : at;
    confirmed = true;
  }

  /** The greatest age that the view may have; {@link #NEVER} before it was confirmed. */
  public long maxAgeMicros(long now) {
    return confirmed ? now - asOf : NEVER;
  }
}
