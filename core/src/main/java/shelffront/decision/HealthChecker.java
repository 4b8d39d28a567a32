package shelffront.decision;

/** Sends health checks if the settings permit them. */
record HealthChecker(RoutingState state) {

  /** Requests the endpoint's load report if the endpoint is assignable. */
  void check(EndpointState endpoint) {
    if (state.settings.limits().healthChecksAllowed() && endpoint.assignable) {
      endpoint.healthCheckedAtMicros = state.nowMicros;
      endpoint.healthCheckPending = true;
      state.actions.checkHealth(endpoint.id);
    }
  }
}
