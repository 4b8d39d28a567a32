package shelffront.routing;

import java.util.List;

/**
 * Events that an embedding proxy reports to the decision module. The proxy carries out the
 * resulting actions through {@link RouterActions}.
 *
 * <p>All times are microseconds on one monotonic clock and are passed in with each event. Positions
 * are times on the same clock: an endpoint at position {@code p} has applied every commit up to
 * {@code p}. The module has no clock, thread or unseeded random source of its own, so the same
 * events always produce the same actions. All methods are called on one thread.
 */
public interface Router {

  /**
   * An unknown time or position. It is earlier than every valid value, and far enough from the
   * limits of {@code long} that differences do not overflow.
   */
  long UNKNOWN = Long.MIN_VALUE / 4;

  /**
   * Starts the module. Called exactly once, before any other method; the seed determines every
   * random choice.
   */
  void onStart(long nowMicros, long seed, RoutingSettings settings);

  /**
   * Reports an update of the endpoint list, or a failure to obtain one.
   *
   * @param version version of the list; increases with each update
   * @param endpoints the changed endpoints for {@link EndpointUpdateKind#DELTA}, otherwise all
   *     endpoints; empty after a failure
   */
  void onEndpoints(long nowMicros, EndpointUpdateKind kind, long version, List<Endpoint> endpoints);

  /**
   * Reports a request of a client. The module completes it with exactly one final response, unless
   * the client disconnects.
   */
  void onRequest(long nowMicros, Request request);

  /** Reports the end of an attempt; its request may already have been completed. */
  void onAttemptOutcome(long nowMicros, AttemptOutcome outcome);

  /**
   * Whether an attempt may still be sent once a connection is available. While the attempt waited
   * for the connection, its client may have disconnected, its endpoint may have started to drain,
   * lost its role or become too stale, or the deduplication window may have ended. If the result is
   * false, the attempt ends with {@link AttemptStatus#NOT_SENT}, and its request is scheduled again
   * if it is still open.
   */
  boolean mayStartAttempt(long nowMicros, String requestId, int attemptNumber);

  /**
   * Reports the end of a health check.
   *
   * @param elapsedMicros time from sending the health check to its end
   * @param loadReport load report of the endpoint; null if it sent none
   */
  void onHealthCheckResult(
      long nowMicros,
      String endpointId,
      AttemptStatus status,
      long elapsedMicros,
      LoadReport loadReport);

  /**
   * Reports that hosts may have reported their roles until now without this router being told:
   * because another router of the same tenant received the reports, or because the tenant was
   * suspended. What the module knows or is listed is then no reason to send unchecked reads to a
   * host, until that proves its role again.
   */
  void onRoleReportsMissed(long nowMicros);

  /**
   * Reports what an endpoint has told of its role other than in the outcome of an attempt or in a
   * load report: in the response to a health check, or to another router of the same tenant. Only
   * that the endpoint is a replica counts.
   */
  void onReplicaReport(long nowMicros, String endpointId, RoleReport report);

  /** Reports a message from another gateway of the fleet. */
  void onPeerMessage(long nowMicros, int gatewayIndex, byte[] payload);

  /** Reports that a timer set by {@link RouterActions#setTimer} is due. */
  void onTimer(long nowMicros, String timerName);

  /** Reports that the client of an open request disconnected; the request needs no response. */
  void onClientDisconnected(long nowMicros, String requestId);
}
