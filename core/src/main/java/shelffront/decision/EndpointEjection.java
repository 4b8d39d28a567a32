package shelffront.decision;

import static shelffront.routing.Router.UNKNOWN;

/**
 * Ejects endpoints, which are not used for a time then, and readmits them.
 *
 * <p>Invariant: the duration doubles with each ejection in a row, up to a bound; an answer of the
 * endpoint ends its ejection at once.
 */
record EndpointEjection(RoutingState state) {

  private static final long FIRST_EJECTION_MICROS = 300_000;
  private static final int MAX_EJECTION_DOUBLINGS = 5;
  private static final long MAX_EJECTION_MICROS = 2_400_000;

  /** After lost connections or a failed health check, which prove less than silence. */
  private static final long FIRST_SHORT_EJECTION_MICROS = 40_000;

  private static final int MAX_SHORT_EJECTION_DOUBLINGS = 6;

  /** Ejects an endpoint, halves its concurrency limit and puts it on probation afterwards. */
  void eject(EndpointState endpoint, String reason) {
    endpoint.ejectedUntilMicros =
        state.nowMicros
            + backoffMicros(
                FIRST_EJECTION_MICROS, MAX_EJECTION_DOUBLINGS, endpoint.consecutiveEjections);
    endpoint.onProbation = true;
    endpoint.concurrencyLimit.halve();
    ejectShortly(endpoint, reason);
  }

  /** Ejects an endpoint for a short time, which doubles with each ejection in a row. */
  void ejectShortly(EndpointState endpoint, String reason) {
    long ejectionMicros =
        backoffMicros(
            FIRST_SHORT_EJECTION_MICROS,
            MAX_SHORT_EJECTION_DOUBLINGS,
            endpoint.consecutiveEjections);
    endpoint.consecutiveEjections++;
    endpoint.ejectedUntilMicros =
        Math.max(endpoint.ejectedUntilMicros, state.nowMicros + ejectionMicros);
    state.note(endpoint.id + " " + reason);
    state.schedule(
        endpoint.ejectedUntilMicros, () -> state.replicaSetChanged.accept(endpoint.replicaSet));
  }

  private static long backoffMicros(long firstMicros, int maxDoublings, int ejections) {
    return Math.min(MAX_EJECTION_MICROS, firstMicros << Math.min(maxDoublings, ejections));
  }

  /** An answer proves that the endpoint works: ends its ejection, probation and failure counts. */
  void readmit(EndpointState endpoint) {
    endpoint.lastResponseAtMicros = state.nowMicros;
    endpoint.consecutiveEjections = 0;
    endpoint.consecutiveConnectionFailures = 0;
    endpoint.onProbation = false;
    endpoint.healthCheckFailed = false;
    endpoint.ejectedUntilMicros = UNKNOWN;
  }
}
