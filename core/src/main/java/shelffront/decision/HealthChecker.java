package shelffront.decision;

/** Sends health checks, as far as the site permits them. */
record HealthChecker(RoutingState state) {

  /** Asks an endpoint for its load report, if it is assignable. */
  void check(EndpointState endpoint) {
    if (state.settings.limits().healthChecksAllowed() && endpoint.assignable) {
      endpoint.healthCheckedAtMicros = state.nowMicros;
      endpoint.healthCheckOut = true;
      state.actions.checkHealth(endpoint.id);
    }
  }
}
