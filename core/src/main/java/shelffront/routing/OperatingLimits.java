package shelffront.routing;

/**
 * What the site permits.
 *
 * @param maxAttempts attempts of one request
 * @param maxRetryAfterMicros greatest Retry-After of a rejection
 * @param retryAfterAllowed whether a rejection may carry a Retry-After at all
 * @param cancellationAllowed whether attempts may be cancelled
 * @param hedgingAllowed whether a request may have two attempts out at a time
 * @param healthChecksAllowed whether endpoints may be asked for load reports
 * @param peerMessagesAllowed whether gateways may send each other messages
 * @param connectTimeoutMicros a connection that takes longer to set up fails
 * @param connectionIdleMicros how long a host keeps an idle connection
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
   * The Retry-After that a rejection may carry; 0, which is no advice, where the site permits none.
   */
  public long retryAfterMicros(long wantedMicros) {
    return retryAfterAllowed ? Math.min(maxRetryAfterMicros, wantedMicros) : 0;
  }
}
