package shelffront.decision;

import shelffront.routing.RequestClass;

/**
 * Limits the concurrent attempts at each endpoint, based on the latency of its responses.
 *
 * <p>Latencies are in microseconds; load is the latency divided by the latency objective of the
 * request class.
 */
record EndpointCapacity(RoutingState state, SlowStartAdmission slowStartAdmission) {

  /** Ratio of latency to latency objective above which the concurrency limit is lowered. */
  private static final double OVERLOADED_LATENCY_OVER_OBJECTIVE = 0.4;

  private static final double DECREASE_FACTOR_WHEN_SLOW = 0.85;
  private static final double DECREASE_FACTOR_WHEN_REJECTED = 0.7;

  /** Whether the endpoint can take another attempt now, within this fraction of its capacity. */
  boolean hasCapacity(EndpointState endpoint, double fraction) {
    return endpoint.concurrencyLimit.hasCapacity(
        state.nowMicros,
        slowStartAdmission.capacityFraction(endpoint) * fraction,
        endpoint.outstandingAttempts.size(),
        endpoint.lastSentAtMicros,
        endpoint.latency.latencyMicros());
  }

  /**
   * Whether the endpoint's latency is well within the objective, so that it can take optional
   * reads.
   */
  boolean hasSpareCapacity(EndpointState endpoint) {
    return endpoint.latency.latencyOverObjective() < OVERLOADED_LATENCY_OVER_OBJECTIVE;
  }

  /** Records the latency of a successful response; raises the limit unless latency is too high. */
  void recordSuccess(EndpointState endpoint, double elapsedMicros, RequestClass requestClass) {
    recordLatency(endpoint, elapsedMicros, requestClass);
    if (endpoint.latency.latencyOverObjective() <= OVERLOADED_LATENCY_OVER_OBJECTIVE) {
      endpoint.concurrencyLimit.increase(endpoint.outstandingAttempts.size());
    }
  }

  /**
   * Records a latency, or the time waited without a response; lowers the limit if latency is too
   * high.
   */
  void recordLatency(EndpointState endpoint, double elapsedMicros, RequestClass requestClass) {
    endpoint.latency.record(state.nowMicros, elapsedMicros, requestClass.latencyObjectiveMicros());
    if (endpoint.latency.latencyOverObjective() > OVERLOADED_LATENCY_OVER_OBJECTIVE) {
      decrease(endpoint, DECREASE_FACTOR_WHEN_SLOW);
    }
  }

  /** Lowers the limit after the endpoint rejected an attempt for lack of capacity. */
  void recordCapacityExceeded(EndpointState endpoint) {
    decrease(endpoint, DECREASE_FACTOR_WHEN_REJECTED);
  }

  private void decrease(EndpointState endpoint, double factor) {
    endpoint.concurrencyLimit.decrease(state.nowMicros, endpoint.latency.latencyMicros(), factor);
  }
}
