package shelffront.routing;

/** What the site permits; a connection that takes longer than its limit to set up fails. */
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
   * The wait that a refusal may tell of; 0, which is no advice, where the site does not permit any.
   */
  public long retryAfterMicros(long wait) {
    return retryAfterAllowed ? Math.min(maxRetryAfterMicros, wait) : 0;
  }
}
