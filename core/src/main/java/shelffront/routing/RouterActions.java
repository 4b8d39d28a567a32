package shelffront.routing;

/**
 * What the embedding proxy does for the decision module. The module calls these methods from within
 * those of {@link Router}, on the same thread.
 */
public interface RouterActions {

  /** Starts an attempt; a timeout of 0 means until the client's deadline. */
  void startAttempt(String requestId, String endpointId, long timeoutMicros);

  /** Stops waiting for an attempt, whose host may execute it nevertheless. */
  void cancelAttempt(String requestId, int attemptNumber);

  /**
   * Final answer: rejected; repeating the request does no harm. A Retry-After of 0 gives no advice.
   */
  void reject(String requestId, long retryAfterMicros);

  /** Final answer: failed, with no promise about its effect. */
  void fail(String requestId);

  /** Asks an endpoint for its load report. */
  void checkHealth(String endpointId);

  /**
   * Calls {@link Router#onTimer} at this time. A timer that is not due yet is only ever set to an
   * earlier time, so that one timer a name is enough.
   */
  void setTimer(String timerName, long atMicros);

  /** Starts or stops watching the endpoint list. */
  void watchEndpoints(boolean enabled);

  /** Asks once for the whole endpoint list. */
  void fetchEndpoints();

  /** Sends a message to one gateway of the fleet, or to all for a negative index. */
  void sendToPeers(int gatewayIndex, byte[] payload);

  /** Closes the connections to an endpoint that no request uses. */
  void closeIdleConnections(String endpointId);

  /** Writes a line to the log. */
  void log(String text);
}
