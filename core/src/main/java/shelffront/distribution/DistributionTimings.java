package shelffront.distribution;

/**
 * The timeouts of distribution, in microseconds, and the propagation bounds that follow from them.
 * Immutable.
 *
 * <p>A long poll without changes gets its response after {@code pollWaitMicros}. A poll without a
 * response {@code responseGraceMicros} later counts as failed. The subscriber then connects to the
 * next distributor within {@code reconnectJitterMicros}, and gives up an unreachable one after
 * {@code connectTimeoutMicros}. A received change is in force within {@code applyMicros}. The delay
 * that a failed hop adds to a change, at any moment of the failure, is therefore at most
 *
 * <pre>
 *   hop = pollWait + responseGrace + reconnectJitter + connectTimeout
 *       = 1.5 s    + 0.6 s         + 0.4 s           + 1 s            = 3.5 s
 *   one hop fails:  hop + 3 hops of 0.1 s + apply (0.5 s)            = 4.3 s  (primary: 5 s)
 *   all three fail in turn, each just before the change reaches it:
 *                   3 x hop + 3 x 0.1 s + apply                      = 11.3 s (any: 14 s)
 * </pre>
 *
 * The hops are coordination store to region, region to zone, and zone to gateway. If the next
 * distributor has failed too, the hop takes another {@code connectTimeoutMicros}, or another poll
 * if that distributor accepts the connection but does not respond.
 *
 * @param pollWaitMicros how long a distributor holds a poll without changes
 * @param responseGraceMicros how long after that a poll without a response counts as failed
 * @param reconnectJitterMicros the interval over which reconnects are spread
 * @param connectTimeoutMicros the connect timeout to a distributor
 * @param applyMicros how long a gateway takes to put a received change in force
 */
public record DistributionTimings(
    long pollWaitMicros,
    long responseGraceMicros,
    long reconnectJitterMicros,
    long connectTimeoutMicros,
    long applyMicros) {

  private static final int HOPS = 3;

  /** The time that a change takes to pass one healthy hop. */
  private static final long HOP_DELAY_MICROS = 100_000;

  /** The timings that all processes use. */
  public static final DistributionTimings STANDARD =
      new DistributionTimings(1_500_000, 600_000, 400_000, 1_000_000, 500_000);

  /** Returns the maximum delay that a failed hop adds to a change. */
  public long failedHopMicros() {
    return pollWaitMicros + responseGraceMicros + reconnectJitterMicros + connectTimeoutMicros;
  }

  /**
   * Returns the maximum time from the coordination store's response to the write until the change
   * is in force, if the given number of hops fail, each just before the change reaches it.
   */
  public long propagationBoundMicros(int failedHops) {
    return failedHops * failedHopMicros() + HOPS * HOP_DELAY_MICROS + applyMicros;
  }

  /** Returns the maximum age of a view without failures, when each hop waits for a full poll. */
  public long maxHealthyAgeMicros() {
    return HOPS * (pollWaitMicros + HOP_DELAY_MICROS);
  }
}
