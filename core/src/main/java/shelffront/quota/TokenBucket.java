package shelffront.quota;

/**
 * A token bucket: so many a second, and so many at once after a rest. Times are microseconds and
 * never step back.
 */
public final class TokenBucket {

  private double perMicro;
  private double burst;
  private double tokens;
  private long filledAt;

  /** A rate of 0 or less is no limit. The bucket begins full; its burst is 1 at least. */
  public TokenBucket(double perSecond, double burst, long now) {
    reconfigure(perSecond, burst, now);
    tokens = this.burst;
  }

  /** Changes the figures; what has been saved up counts on, as far as the new burst allows. */
  public void reconfigure(double perSecond, double newBurst, long now) {
    fill(now);
    perMicro = perSecond / 1e6;
    burst = Math.max(1, newBurst);
    tokens = Math.min(tokens, burst);
  }

  public double perSecond() {
    return perMicro * 1e6;
  }

  private void fill(long now) {
    tokens = Math.min(burst, tokens + Math.max(0, now - filledAt) * Math.max(0, perMicro));
    filledAt = Math.max(filledAt, now);
  }

  /** Microseconds until one more may be taken; 0 if now. Takes nothing. */
  public long waitMicros(long now) {
    if (perMicro <= 0) {
      return 0;
    }
    fill(now);
    return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / perMicro);
  }

  /** Takes one; to be called after {@link #waitMicros} gave 0. */
  public void consume() {
    tokens -= perMicro > 0 ? 1 : 0;
  }
}
