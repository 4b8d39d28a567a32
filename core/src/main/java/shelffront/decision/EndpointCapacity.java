package shelffront.decision;

import shelffront.routing.RequestClass;

/**
 * How many attempts an endpoint may have at a time, as its answers show.
 *
 * <p>Latencies are microseconds; the load is the latency over the class's latency objective.
 */
record EndpointCapacity(RoutingState state, SlowStartAdmission slowStartAdmission) {

  /** Latency over the objective above which an endpoint is given less. */
  private static final double OVERLOADED_LATENCY_OVER_OBJECTIVE = 0.4;

  private static final double DECREASE_WHEN_SLOW = 0.85;
  private static final double DECREASE_WHEN_EXCEEDED = 0.7;

  /** Whether an endpoint may get one more now, within a fraction of its capacity. */
  boolean hasCapacity(EndpointState endpoint, double fraction) {
    return endpoint.concurrencyLimit.hasCapacity(
        state.nowMicros,
        slowStartAdmission.capacityFraction(endpoint) * fraction,
        endpoint.attemptsOut.size(),
        endpoint.lastSentAtMicros,
        endpoint.latency.latencyMicros());
  }

  /** Whether an endpoint answers well within the objective, so that it can take other reads. */
  boolean hasSpareCapacity(EndpointState endpoint) {
    return endpoint.latency.latencyOverObjective() < OVERLOADED_LATENCY_OVER_OBJECTIVE;
  }

  /** An answer came: the limit grows, unless answers are late. */
  void recordSuccess(EndpointState endpoint, double elapsedMicros, RequestClass requestClass) {
    recordLatency(endpoint, elapsedMicros, requestClass);
    if (endpoint.latency.latencyOverObjective() <= OVERLOADED_LATENCY_OVER_OBJECTIVE) {
      endpoint.concurrencyLimit.increase(endpoint.attemptsOut.size());
    }
  }

  /** Takes in a latency, or how long an answer was waited for; late answers lower the limit. */
  void recordLatency(EndpointState endpoint, double elapsedMicros, RequestClass requestClass) {
    endpoint.latency.record(state.nowMicros, elapsedMicros, requestClass.latencyObjectiveMicros());
    if (endpoint.latency.latencyOverObjective() > OVERLOADED_LATENCY_OVER_OBJECTIVE) {
      decrease(endpoint, DECREASE_WHEN_SLOW);
    }
  }

  /** The endpoint sent an attempt back because it has no capacity. */
  void recordCapacityExceeded(EndpointState endpoint) {
    decrease(endpoint, DECREASE_WHEN_EXCEEDED);
  }

  private void decrease(EndpointState endpoint, double factor) {
    endpoint.concurrencyLimit.decrease(state.nowMicros, endpoint.latency.latencyMicros(), factor);
  }
}
