package shelffront.routing;

/**
 * Actions that the embedding proxy carries out for the decision module. The module calls these
 * methods only from within methods of {@link Router}, on the same thread.
 */
public interface RouterActions {

  /**
   * Starts an attempt. A timeout of 0 means that the attempt may run until the client's deadline.
   */
  void startAttempt(String requestId, String endpointId, long timeoutMicros);

  /** Stops waiting for an attempt. The host may still execute it. */
  void cancelAttempt(String requestId, int attemptNumber);

  /**
   * Completes a request as rejected: the client may safely repeat it. A {@code retryAfterMicros} of
   * 0 means that the response carries no Retry-After.
   */
  void reject(String requestId, long retryAfterMicros);

  /** Completes a request as failed, with no guarantee whether it was executed. */
  void fail(String requestId);

  /** Sends a health check, which requests the load report of an endpoint. */
  void checkHealth(String endpointId);

  /**
   * Calls {@link Router#onTimer} at the given time. A pending timer is only ever moved to an
   * earlier time, so one timer per name is sufficient.
   */
  void setTimer(String timerName, long atMicros);

  /** Starts or stops watching the endpoint list. */
  void watchEndpoints(boolean enabled);

  /** Fetches the complete endpoint list once. */
  void fetchEndpoints();

  /** Sends a message to one gateway of the fleet, or to all gateways if the index is negative. */
  void sendToPeers(int gatewayIndex, byte[] payload);

  /** Closes the connections to an endpoint that are not in use by any request. */
  void closeIdleConnections(String endpointId);

  /** Writes a line to the log. */
  void log(String text);
}
