package shelffront.routing;

import java.util.List;

/**
 * The interface of the decision module: the events that an embedding proxy reports. The actions
 * that the proxy carries out in turn are {@link RouterActions}.
 *
 * <p>All times are microseconds on one clock that never moves backwards, passed in with each event.
 * Positions are times on the same clock: an endpoint at position {@code p} has applied every commit
 * up to {@code p}. The module keeps no clock, thread or random source of its own, so the same
 * events always give the same actions. All methods are called on one thread.
 */
public interface Router {

  /**
   * A time or position that was not given, long before any other; far enough from the limits to
   * subtract.
   */
  long UNKNOWN = Long.MIN_VALUE / 4;

  /** First event; called once. The seed determines every random choice. */
  void onStart(long nowMicros, long seed, RoutingSettings settings);

  /**
   * An update of the endpoint list, or the failure to get one.
   *
   * @param version of the list; grows with each update
   * @param endpoints the changed endpoints of a {@link EndpointUpdateKind#DELTA}, else all; empty
   *     after a failure
   */
  void onEndpoints(long nowMicros, EndpointUpdateKind kind, long version, List<Endpoint> endpoints);

  /** A client sent a request; it gets exactly one final answer. */
  void onRequest(long nowMicros, Request request);

  /** An attempt ended; its request may have been completed before. */
  void onAttemptOutcome(long nowMicros, AttemptOutcome outcome);

  /**
   * Whether an attempt may be written now that a connection is there for it: while it waited its
   * client may have gone, its endpoint may have begun to drain, lost its role or become too old,
   * the window for repeats may have ended. Where not, it ends as {@link AttemptStatus#NOT_SENT},
   * and its request, if it is open, is looked at again.
   */
  boolean mayStartAttempt(long nowMicros, String requestId, int attemptNumber);

  /**
   * A health check ended.
   *
   * @param elapsedMicros from sending the check to its end
   * @param loadReport what the endpoint reported; null when it did not
   */
  void onHealthCheckResult(
      long nowMicros,
      String endpointId,
      AttemptStatus status,
      long elapsedMicros,
      LoadReport loadReport);

  /** Another gateway of the fleet sent a message. */
  void onPeerMessage(long nowMicros, int gatewayIndex, byte[] payload);

  /** A timer that was set by {@link RouterActions#setTimer} is due. */
  void onTimer(long nowMicros, String timerName);

  /** The client of an open request went away; the request needs no answer any more. */
  void onClientDisconnected(long nowMicros, String requestId);
}
