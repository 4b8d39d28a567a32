package shelffront.decision;

/**
 * Estimates how slow an endpoint is: its service times divided by the typical service time of their
 * class, 1 being normal.
 */
record SlowdownEstimator(RoutingState state) {

  /** Upper bound of a sample; also the sample for an attempt rejected for lack of capacity. */
  static final double MAX_SLOWDOWN = 10;

  /** Number of samples for which the mean of the replica set counts. */
  private static final double PRIOR_WEIGHT = 3;

  /** Records a service time, or the time waited without a response, divided by the typical one. */
  void record(EndpointState endpoint, double slowdown) {
    double bounded = Math.min(slowdown, MAX_SLOWDOWN);
    endpoint.slowdown.record(state.nowMicros, bounded);
    endpoint.replicaSet.slowdown.record(state.nowMicros, bounded);
  }

  /**
   * Expected slowdown; the mean of the replica set counts for more if the endpoint has few samples.
   */
  double expected(EndpointState endpoint) {
    double replicaSetMean = endpoint.replicaSet.slowdown.mean(state.nowMicros, 1, 1);
    return endpoint.slowdown.mean(state.nowMicros, replicaSetMean, PRIOR_WEIGHT);
  }
}
