package shelffront.routing;

/**
 * Operations that the operator permits, and their limits.
 *
 * @param maxAttempts maximum number of attempts of one request
 * @param maxRetryAfterMicros maximum Retry-After of a rejection
 * @param retryAfterAllowed whether a rejection may carry a Retry-After at all
 * @param cancellationAllowed whether attempts may be cancelled
 * @param hedgingAllowed whether a request may have two attempts in flight at once
 * @param healthChecksAllowed whether health checks may be sent to endpoints
 * @param peerMessagesAllowed whether gateways may send messages to each other
 * @param connectTimeoutMicros time after which an unfinished connection attempt fails
 * @param connectionIdleMicros time after which a host closes an idle connection
 */
public record OperatingLimits(
    int maxAttempts,
    long maxRetryAfterMicros,
    boolean retryAfterAllowed,
    boolean cancellationAllowed,
    boolean hedgingAllowed,
    boolean healthChecksAllowed,
    boolean peerMessagesAllowed,
    long connectTimeoutMicros,
    long connectionIdleMicros) {

  /**
   * Returns the Retry-After for a rejection: the wanted value capped at the maximum, or 0 (no
   * Retry-After) if the operator does not permit it.
   */
  public long retryAfterMicros(long wantedMicros) {
    return retryAfterAllowed ? Math.min(maxRetryAfterMicros, wantedMicros) : 0;
  }
}
