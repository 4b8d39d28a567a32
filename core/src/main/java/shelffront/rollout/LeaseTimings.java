package shelffront.rollout;

/**
 * The timeouts of leases, in microseconds. All gateways of a fleet must use the same values: the
 * other gateways would consider a longer lease expired while it is still valid.
 *
 * @param leaseMicros the lease duration, counted from when the renewal was sent
 * @param operationMicros how long an operation may continue after its lease has expired (a
 *     request's deadline)
 * @param clockDrift the maximum rate error of any machine's clock, as a fraction below 1
 * @param suspectAfterMicros how long a member may go without renewal before it is revoked, so that
 *     it stops blocking an advance
 */
public record LeaseTimings(
    long leaseMicros, long operationMicros, double clockDrift, long suspectAfterMicros) {

  private static final int RETRIES_PER_RENEWAL = 4;

  private static final int RENEWALS_PER_LEASE = 3;

  /** Throws {@link IllegalArgumentException} if a value is out of range. */
  public LeaseTimings {
    if (leaseMicros <= 0
        || operationMicros < 0
        || suspectAfterMicros < 0
        || !(clockDrift >= 0 && clockDrift < 1)) {
      throw new IllegalArgumentException(
          "invalid lease timings: leaseMicros="
              + leaseMicros
              + " (must be above 0), operationMicros="
              + operationMicros
              + " and suspectAfterMicros="
              + suspectAfterMicros
              + " (must not be negative), clockDrift="
              + clockDrift
              + " (must be at least 0 and below 1)");
    }
  }

  /**
   * Returns how long a leader waits by its own clock, after reading a member as revoked, until no
   * lease or operation of that member can remain. The time counts from the read: the revocation was
   * written before it, and the last successful renewal was sent before the revocation, so message
   * delays do not extend the bound. It allows for a member's clock that is slow and a leader's
   * clock that is fast by the maximum drift.
   */
  public long leaseExpiryBoundMicros() {
    return (long) Math.ceil((leaseMicros + operationMicros) * (1 + clockDrift) / (1 - clockDrift));
  }

  /** Returns the renewal interval; a lease outlasts two lost renewals. */
  public long renewIntervalMicros() {
    return leaseMicros / RENEWALS_PER_LEASE;
  }

  /** Returns the delay before a failed call of the coordination store is retried. */
  public long retryIntervalMicros() {
    return renewIntervalMicros() / RETRIES_PER_RENEWAL;
  }
}
