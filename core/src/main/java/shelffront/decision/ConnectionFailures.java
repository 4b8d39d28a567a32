package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;

/**
 * What broken and refused connections say of an endpoint: little, for one that works loses
 * connections too.
 *
 * <p>Invariant: an endpoint is health-checked after each, and ejected for a moment from the third
 * in a row on, or where setting one up took too long.
 */
record ConnectionFailures(
    RoutingState state, EndpointEjection ejection, HealthChecker healthChecker) {

  /** Lost connections in a row that tell nothing of an endpoint. */
  private static final int MAX_TOLERATED = 2;

  /** How long connections are taken to be scarce or expensive after one that was not set up. */
  private static final long MEMORY_MICROS = 20_000_000;

  /**
   * An attempt's connection broke or was not set up. Where it was refused at once, the endpoint's
   * connection table may be full: idle connections are given back for a while. Where setting up
   * takes too long they are kept.
   */
  void record(EndpointState endpoint, AttemptOutcome outcome) {
    endpoint.idleConnectionUntilMicros = UNKNOWN;
    boolean neverConnected = outcome.status() == AttemptStatus.CONNECT_FAILED;
    boolean expensive = neverConnected && isExpensive(outcome.elapsedMicros());
    if (expensive) {
      state.connectionsExpensiveUntilMicros = state.nowMicros + MEMORY_MICROS;
    }
    if (expensive || exceedsTolerance(endpoint)) {
      boolean scarce = neverConnected && !expensive;
      endpoint.connectionsScarceUntilMicros = scarce ? state.nowMicros + MEMORY_MICROS : UNKNOWN;
      ejection.ejectShortly(endpoint, "does not accept connections");
    }
    if (!endpoint.healthCheckOut) {
      healthChecker.check(endpoint);
    }
  }

  /** Counts a failure; true from the first on that tells something of the endpoint. */
  boolean exceedsTolerance(EndpointState endpoint) {
    return ++endpoint.consecutiveConnectionFailures > MAX_TOLERATED;
  }

  private boolean isExpensive(long elapsedMicros) {
    return elapsedMicros > state.settings.limits().connectTimeoutMicros() / 2;
  }
}
