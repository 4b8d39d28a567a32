package shelffront.distribution;

/**
 * The times of distribution, in microseconds, and the bounds that follow from them. Immutable.
 *
 * <p>A poll without news is answered after {@code pollWaitMicros}. One that has no answer {@code
 * responseGraceMicros} after that is given up as broken. The next distributor is asked after {@code
 * reconnectJitterMicros} at most, is given up after {@code connectTimeoutMicros} where it can't be
 * reached, and what comes is in force after {@code applyMicros} at most. So a hop of the way that
 * fails, at whatever moment, holds a change up for
 *
 * <pre>
 *   hop = pollWait + responseGrace + reconnectJitter + connectTimeout
 *       = 1.5 s    + 0.6 s         + 0.4 s           + 1 s            = 3.5 s
 *   one hop fails:  hop + 3 hops of 0.1 s + apply (0.5 s)            = 4.3 s  (primary: 5 s)
 *   all three fail, one after another, each just before the change:
 *                   3 x hop + 3 x 0.1 s + apply                      = 11.3 s (any: 14 s)
 * </pre>
 *
 * The hops are engine to region, region to zone, zone to gateway. Where the next distributor that
 * is asked has failed too the hop costs another {@code connectTimeoutMicros}, or another poll where
 * it accepts and is silent.
 *
 * @param pollWaitMicros how long a distributor holds a poll without news
 * @param responseGraceMicros after that, until the poll counts as broken
 * @param reconnectJitterMicros within which reconnects are spread
 * @param connectTimeoutMicros until a distributor counts as out of reach
 * @param applyMicros until what a gateway was given is in force there
 */
public record DistributionTimings(
    long pollWaitMicros,
    long responseGraceMicros,
    long reconnectJitterMicros,
    long connectTimeoutMicros,
    long applyMicros) {

  private static final int HOPS = 3;

  /** For a change to pass one hop that has not failed. */
  private static final long HOP_DELAY_MICROS = 100_000;

  /** What every process uses. */
  public static final DistributionTimings STANDARD =
      new DistributionTimings(1_500_000, 600_000, 400_000, 1_000_000, 500_000);

  /** How long a hop that fails may hold a change up. */
  public long failedHopMicros() {
    return pollWaitMicros + responseGraceMicros + reconnectJitterMicros + connectTimeoutMicros;
  }

  /** From the engine's answer to in force, so many hops having failed just before. */
  public long propagationBoundMicros(int failedHops) {
    return failedHops * failedHopMicros() + HOPS * HOP_DELAY_MICROS + applyMicros;
  }

  /** The age that a view has at most while nothing fails: each hop may wait for a whole poll. */
  public long maxHealthyAgeMicros() {
    return HOPS * (pollWaitMicros + HOP_DELAY_MICROS);
  }
}
