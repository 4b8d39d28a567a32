package shelffront.quota;

/**
 * A token bucket: a rate limit that allows a burst after an idle period.
 *
 * <p>Invariant: the bucket never holds more tokens than its burst. Times are microseconds and never
 * decrease. Not thread-safe.
 */
public final class TokenBucket {

  private static final double MICROS_PER_SECOND = 1e6;

  private double tokensPerMicro;
  private double burst;
  private double tokens;
  private long refilledAtMicros;

  /** Creates a full bucket. A rate of 0 or less means no limit; a burst below 1 is raised to 1. */
  public TokenBucket(double perSecond, double burst, long nowMicros) {
    reconfigure(perSecond, burst, nowMicros);
    tokens = this.burst;
  }

  /** Changes rate and burst. Accumulated tokens are kept, up to the new burst. */
  public void reconfigure(double perSecond, double newBurst, long nowMicros) {
    refill(nowMicros);
    tokensPerMicro = perSecond / MICROS_PER_SECOND;
    burst = Math.max(1, newBurst);
    tokens = Math.min(tokens, burst);
  }

  /** The rate in tokens per second; 0 or less means no limit. */
  public double perSecond() {
    return tokensPerMicro * MICROS_PER_SECOND;
  }

  private void refill(long nowMicros) {
    long elapsedMicros = Math.max(0, nowMicros - refilledAtMicros);
    tokens = Math.min(burst, tokens + elapsedMicros * Math.max(0, tokensPerMicro));
    refilledAtMicros = Math.max(refilledAtMicros, nowMicros);
  }

  /**
   * Time in microseconds until a token is available; 0 if one is available now. Consumes no token.
   */
  public long waitMicros(long nowMicros) {
    if (tokensPerMicro <= 0) {
      return 0;
    }
    refill(nowMicros);
    return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / tokensPerMicro);
  }

  /** Consumes one token; to be called only after {@link #waitMicros} has returned 0. */
  public void consume() {
    tokens -= tokensPerMicro > 0 ? 1 : 0;
  }
}
