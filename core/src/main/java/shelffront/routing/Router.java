package shelffront.routing;

import java.util.List;

/**
 * The interface of the decision module: the events an embedding proxy reports and the actions it
 * carries out.
 *
 * <p>All times are microseconds on one clock that never moves backwards, passed in with each event.
 * Positions are times on the same clock: a member at position {@code p} has applied every commit up
 * to {@code p}. The module keeps no clock, thread or random source of its own, so the same events
 * always give the same actions.
 */
public interface Router {

  /**
   * A time or position that was not given, long before any other; far enough from the limits to
   * subtract.
   */
  long UNKNOWN = Long.MIN_VALUE / 4;

  void onStart(long now, long seed, RoutingSettings settings);

  void onEndpoints(long now, EndpointUpdateKind kind, long version, List<Endpoint> members);

  void onRequest(long now, Request request);

  void onAttemptOutcome(long now, AttemptOutcome outcome);

  /**
   * Whether an attempt may be written now that a connection is there for it: while it waited its
   * client may have gone, its member may have begun to drain, lost its role or become too old, the
   * window for repeats may have ended. Where not, it ends as NOT_SENT, and its request, if it is
   * open, is looked at again.
   */
  boolean mayStartAttempt(long now, String requestId, int attempt);

  void onHealthCheckResult(
      long now, String member, AttemptStatus status, long took, LoadReport load);

  void onPeerMessage(long now, int from, byte[] payload);

  void onTimer(long now, String name);

  void onClientDisconnected(long now, String requestId);
}
