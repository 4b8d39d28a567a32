package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;

/**
 * Health-checks and ejects endpoints whose connections fail. One or two consecutive failures are
 * tolerated, because healthy endpoints lose connections too.
 *
 * <p>Invariant: each failure triggers a health check, if the settings permit it and none is
 * pending. An endpoint is ejected briefly from the third consecutive failure on, or as soon as
 * establishing a connection takes more than half of the connect timeout.
 */
record ConnectionFailures(
    RoutingState state, EndpointEjection ejection, HealthChecker healthChecker) {

  /** Number of consecutive connection failures that do not cause an ejection. */
  private static final int MAX_TOLERATED_FAILURES = 2;

  /** How long connections are treated as scarce or expensive after one could not be established. */
  private static final long CONNECTION_PRESSURE_MICROS = 20_000_000;

  /**
   * Records an attempt whose connection broke or could not be established. If connections beyond
   * the tolerated number are refused at once, the endpoint's connection table may be full, so its
   * idle connections are closed for a while. If establishing a connection takes too long, idle
   * connections are kept.
   */
  void record(EndpointState endpoint, AttemptOutcome outcome) {
    endpoint.idleConnectionUntilMicros = UNKNOWN;
    boolean connectFailed = outcome.status() == AttemptStatus.CONNECT_FAILED;
    boolean connectSlow = connectFailed && isConnectSlow(outcome.elapsedMicros());
    if (connectSlow) {
      state.connectionsExpensiveUntilMicros = state.nowMicros + CONNECTION_PRESSURE_MICROS;
    }
    if (connectSlow || exceedsTolerance(endpoint)) {
      boolean connectRefused = connectFailed && !connectSlow;
      endpoint.connectionsScarceUntilMicros =
          connectRefused ? state.nowMicros + CONNECTION_PRESSURE_MICROS : UNKNOWN;
      ejection.ejectBriefly(endpoint, "does not accept connections");
    }
    if (!endpoint.healthCheckPending) {
      healthChecker.check(endpoint);
    }
  }

  /**
   * Counts a connection failure; returns whether the consecutive failures exceed the tolerated
   * number.
   */
  boolean exceedsTolerance(EndpointState endpoint) {
    return ++endpoint.consecutiveConnectionFailures > MAX_TOLERATED_FAILURES;
  }

  private boolean isConnectSlow(long elapsedMicros) {
    return elapsedMicros > state.settings.limits().connectTimeoutMicros() / 2;
  }
}
