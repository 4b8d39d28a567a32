package shelffront.distribution;

/**
 * The times of distribution, in microseconds, and the bounds that follow from them.
 *
 * <p>A poll without news is answered after {@code pollWait}. One that has no answer {@code
 * answerGrace} after that is given up as broken. The next distributor is asked after {@code
 * reconnectSpread} at most, is given up after {@code connectTimeout} where it can't be reached, and
 * what comes is in force after {@code putInForce} at most. So a hop of the way that fails, at
 * whatever moment, holds a change up for
 *
 * <pre>
 *   hop = pollWait + answerGrace + reconnectSpread + connectTimeout
 *       = 1.5 s   + 0.6 s       + 0.4 s           + 1 s              = 3.5 s
 *   one hop fails:  hop + 3 hops of 0.1 s + putInForce (0.5 s)       = 4.3 s  (primary: 5 s)
 *   all three fail, one after another, each just before the change:
 *                   3 x hop + 3 x 0.1 s + putInForce                 = 11.3 s (any: 14 s)
 * </pre>
 *
 * The hops are engine to region, region to zone, zone to gateway. Where the next distributor that
 * is asked has failed too the hop costs another {@code connectTimeout}, or another poll where it
 * accepts and is silent.
 */
public record DistributionTimings(
    long pollWaitMicros,
    long responseGraceMicros,
    long reconnectJitterMicros,
    long connectTimeoutMicros,
    long applyMicros) {

  private static final int HOPS = 3;

  /** For a change to pass one hop that has not failed. */
  private static final long HOP_DELAY = 100_000;

  public static final DistributionTimings STANDARD =
      new DistributionTimings(1_500_000, 600_000, 400_000, 1_000_000, 500_000);

  /** How long a hop that fails may hold a change up. */
  public long failedHopMicros() {
    return pollWaitMicros + responseGraceMicros + reconnectJitterMicros + connectTimeoutMicros;
  }

  /** From the engine's answer to in force, so many hops having failed just before. */
  public long propagationBoundMicros(int failedHops) {
    return failedHops * failedHopMicros() + HOPS * HOP_DELAY + applyMicros;
  }

  /** The age that a view has at most while nothing fails: each hop may wait for a whole poll. */
  public long maxHealthyAgeMicros() {
    return HOPS * (pollWaitMicros + HOP_DELAY);
  }
}
