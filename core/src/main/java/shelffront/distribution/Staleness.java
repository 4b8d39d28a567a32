package shelffront.distribution;

/**
 * Computes an upper bound of the age of a view. The transit time of a response is unknown: a
 * response may stay for minutes in the receive buffer of a process that was stopped. The age is
 * therefore counted from when the request was sent, by the requester's monotonic clock, plus the
 * age that the response states.
 *
 * <p>Invariant: a later confirmation never increases the age. Times are microseconds. Threads: not
 * thread-safe; guarded by its owner.
 */
public final class Staleness {

  /** The age of a view that has not been confirmed. */
  public static final long NEVER = Long.MAX_VALUE;

  private boolean confirmed;
  private long currentAsOfMicros;

  /**
   * Records a response.
   *
   * @param sentAtMicros when the request was sent
   * @param statedAgeMicros the age of the responder's view, or {@link #NEVER}
   */
  public void confirm(long sentAtMicros, long statedAgeMicros) {
    if (statedAgeMicros == NEVER) {
      return;
    }
    long asOfMicros = sentAtMicros - statedAgeMicros;
    currentAsOfMicros = confirmed ? Math.max(currentAsOfMicros, asOfMicros) : asOfMicros;
    confirmed = true;
  }

  /** Returns the maximum age of the view, or {@link #NEVER} if it has not been confirmed. */
  public long maxAgeMicros(long nowMicros) {
    return confirmed ? nowMicros - currentAsOfMicros : NEVER;
  }
}
