package shelffront.quota;

/**
 * A token bucket: a rate, and a burst that may come at once after a rest.
 *
 * <p>Invariant: it never holds more tokens than its burst. Times are microseconds and never step
 * back. Threads: belongs to its owner's.
 */
public final class TokenBucket {

  private static final double MICROS_PER_SECOND = 1e6;

  private double perMicro;
  private double burst;
  private double tokens;
  private long filledAtMicros;

  /** A rate of 0 or less is no limit. The bucket begins full; its burst is 1 at least. */
  public TokenBucket(double perSecond, double burst, long nowMicros) {
    reconfigure(perSecond, burst, nowMicros);
    tokens = this.burst;
  }

  /** Changes the figures; tokens that were saved up stay, as far as the new burst allows. */
  public void reconfigure(double perSecond, double newBurst, long nowMicros) {
    fill(nowMicros);
    perMicro = perSecond / MICROS_PER_SECOND;
    burst = Math.max(1, newBurst);
    tokens = Math.min(tokens, burst);
  }

  /** The rate; 0 or less is no limit. */
  public double perSecond() {
    return perMicro * MICROS_PER_SECOND;
  }

  private void fill(long nowMicros) {
    long passedMicros = Math.max(0, nowMicros - filledAtMicros);
    tokens = Math.min(burst, tokens + passedMicros * Math.max(0, perMicro));
    filledAtMicros = Math.max(filledAtMicros, nowMicros);
  }

  /** Microseconds until a token may be consumed; 0 if now. Consumes nothing. */
  public long waitMicros(long nowMicros) {
    if (perMicro <= 0) {
      return 0;
    }
    fill(nowMicros);
    return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / perMicro);
  }

  /** Consumes one token; to be called after {@link #waitMicros} gave 0. */
  public void consume() {
    tokens -= perMicro > 0 ? 1 : 0;
  }
}
