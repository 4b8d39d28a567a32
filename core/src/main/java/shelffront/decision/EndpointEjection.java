package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

/**
 * Ejects endpoints, so that they are not used for a time, and readmits them.
 *
 * <p>Invariant: the duration doubles with each consecutive ejection, up to a bound; a response that
 * proves the endpoint healthy ends its ejection at once.
 */
record EndpointEjection(RoutingState state) {

  private static final long FIRST_EJECTION_MICROS = 300_000;
  private static final int MAX_EJECTION_DOUBLINGS = 5;
  private static final long MAX_EJECTION_MICROS = 2_400_000;

  /**
   * Initial duration after lost connections or a failed health check, which are weaker evidence
   * than silence.
   */
  private static final long FIRST_SHORT_EJECTION_MICROS = 40_000;

  private static final int MAX_SHORT_EJECTION_DOUBLINGS = 6;

  /**
   * Ejects the endpoint, halves its concurrency limit and puts it on probation after the ejection.
   */
  void eject(EndpointState endpoint, String reason) {
    endpoint.ejectedUntilMicros =
        state.nowMicros
            + backoffMicros(
                FIRST_EJECTION_MICROS, MAX_EJECTION_DOUBLINGS, endpoint.consecutiveEjections);
    endpoint.onProbation = true;
    endpoint.concurrencyLimit.halve();
    ejectBriefly(endpoint, reason);
  }

  /** Ejects the endpoint for a short time, which doubles with each consecutive ejection. */
  void ejectBriefly(EndpointState endpoint, String reason) {
    long ejectionMicros =
        backoffMicros(
            FIRST_SHORT_EJECTION_MICROS,
            MAX_SHORT_EJECTION_DOUBLINGS,
            endpoint.consecutiveEjections);
    endpoint.consecutiveEjections++;
    endpoint.ejectedUntilMicros =
        Math.max(endpoint.ejectedUntilMicros, state.nowMicros + ejectionMicros);
    state.logRateLimited(endpoint.id + " " + reason);
    state.schedule(
        endpoint.ejectedUntilMicros, () -> state.replicaSetChanged.accept(endpoint.replicaSet));
  }

  private static long backoffMicros(long firstMicros, int maxDoublings, int ejections) {
    return Math.min(MAX_EJECTION_MICROS, firstMicros << Math.min(maxDoublings, ejections));
  }

  /**
   * Ends the ejection and probation of an endpoint that has responded, and resets its failure
   * counts.
   */
  void readmit(EndpointState endpoint) {
    endpoint.lastResponseAtMicros = state.nowMicros;
    endpoint.consecutiveEjections = 0;
    endpoint.consecutiveConnectionFailures = 0;
    endpoint.onProbation = false;
    endpoint.healthCheckFailed = false;
    endpoint.ejectedUntilMicros = UNKNOWN;
  }
}
