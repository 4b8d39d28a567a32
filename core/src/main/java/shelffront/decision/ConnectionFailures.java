package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;

/**
 * Judges an endpoint by its broken and refused connections. One or two prove nothing, since a
 * healthy endpoint loses connections too.
 *
 * <p>Invariant: an endpoint is health-checked after each failure, and ejected shortly from the
 * third in a row on, or where a connection took too long to set up.
 */
record ConnectionFailures(
    RoutingState state, EndpointEjection ejection, HealthChecker healthChecker) {

  /** Connection failures in a row that prove nothing. */
  private static final int MAX_TOLERATED = 2;

  /** How long connections count as scarce or expensive after one could not be set up. */
  private static final long CONNECTION_PRESSURE_MICROS = 20_000_000;

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
      state.connectionsExpensiveUntilMicros = state.nowMicros + CONNECTION_PRESSURE_MICROS;
    }
    if (expensive || exceedsTolerance(endpoint)) {
      boolean scarce = neverConnected && !expensive;
      endpoint.connectionsScarceUntilMicros =
          scarce ? state.nowMicros + CONNECTION_PRESSURE_MICROS : UNKNOWN;
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
