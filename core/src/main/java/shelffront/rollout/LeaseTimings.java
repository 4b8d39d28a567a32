package shelffront.rollout;

/**
 * How long leases, operations and suspicion may last, in microseconds. The same at all gateways of
 * a fleet: one with a longer lease breaks what the others count on.
 *
 * @param leaseMicros from when a renewal was sent to the end of what it allows
 * @param operationMicros the longest that an operation begun under a lease goes on after its end (a
 *     request's deadline)
 * @param clockDrift the most that any machine's clock runs fast or slow, as a part of one, below 1
 * @param suspectAfterMicros a member that did not renew for so long blocks an advance no more and
 *     is revoked
 */
public record LeaseTimings(
    long leaseMicros, long operationMicros, double clockDrift, long suspectAfterMicros) {

  private static final int RETRIES_PER_RENEWAL = 4;

  private static final int RENEWALS_PER_LEASE = 3;

  /** Throws where nothing sensible follows from the figures. */
  public LeaseTimings {
    if (leaseMicros <= 0
        || operationMicros < 0
        || suspectAfterMicros < 0
        || !(clockDrift >= 0 && clockDrift < 1)) {
      throw new IllegalArgumentException(
          "a lease above 0, no negative times and a drift of 0 to 1 are wanted");
    }
  }

  /**
   * How long a leader waits, by its own clock, from when it saw a member revoked until nothing of
   * that member can still be in force. Saw, and not wrote: what it reads was written before, and
   * the renewal that the revoking cut off before that, so no delay of messages adds to it. The
   * holder's clock may be slow by the drift and the leader's fast by it.
   */
  public long leaseExpiryBoundMicros() {
    return (long) Math.ceil((leaseMicros + operationMicros) * (1 + clockDrift) / (1 - clockDrift));
  }

  /** How often a lease is renewed: two renewals may be lost before it expires. */
  public long renewIntervalMicros() {
    return leaseMicros / RENEWALS_PER_LEASE;
  }

  /** How long a call of the coordination store that failed waits until it is made again. */
  public long retryIntervalMicros() {
    return renewIntervalMicros() / RETRIES_PER_RENEWAL;
  }
}
