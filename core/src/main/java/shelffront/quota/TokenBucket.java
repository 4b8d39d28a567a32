package shelffront.quota;

/**
 * A token bucket: a rate limit that allows a burst after an idle period.
 *
 * <p>Invariant: the bucket never holds more tokens than its burst. Times are microseconds and never
 * decrease. Not thread-safe.
 */
public final class TokenBucket {

  private static final double MICROS_PER_SECOND = 1e6;

  private double perMicro;
  private double burst;
  private double tokens;
  private long filledAtMicros;

  /** Creates a full bucket. A rate of 0 or less means no limit; a burst below 1 is raised to 1. */
  public TokenBucket(double perSecond, double burst, long nowMicros) {
    reconfigure(perSecond, burst, nowMicros);
    tokens = this.burst;
  }

  /** Changes rate and burst. Accumulated tokens are kept, up to the new burst. */
  public void reconfigure(double perSecond, double newBurst, long nowMicros) {
    fill(nowMicros);
    perMicro = perSecond / MICROS_PER_SECOND;
    burst = Math.max(1, newBurst);
    tokens = Math.min(tokens, burst);
  }

  /** The rate in tokens per second; 0 or less means no limit. */
  public double perSecond() {
    return perMicro * MICROS_PER_SECOND;
  }

  private void fill(long nowMicros) {
    long passedMicros = Math.max(0, nowMicros - filledAtMicros);
    tokens = Math.min(burst, tokens + passedMicros * Math.max(0, perMicro));
    filledAtMicros = Math.max(filledAtMicros, nowMicros);
  }

  /**
   * Time in microseconds until a token is available; 0 if one is available now. Consumes no token.
   */
  public long waitMicros(long nowMicros) {
    if (perMicro <= 0) {
      return 0;
    }
    fill(nowMicros);
    return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / perMicro);
  }

  /** Consumes one token; to be called only after {@link #waitMicros} has returned 0. */
  public void consume() {
    tokens -= perMicro > 0 ? 1 : 0;
  }
}
