package shelffront.decision;

/** How slow an endpoint is: its service times over the typical one of each class, 1 as usual. */
record SlowdownEstimator(RoutingState state) {

  /** Counted at most for one answer, and for one that was not looked at. */
  static final double MAX_SLOWDOWN = 10;

  /** Service times of its set that an endpoint's own are averaged with. */
  private static final double PRIOR_WEIGHT = 3;

  /** Takes in one service time, or how long one was waited for, over the typical one. */
  void record(EndpointState endpoint, double slowdown) {
    double bounded = Math.min(slowdown, MAX_SLOWDOWN);
    endpoint.slowdown.record(state.nowMicros, bounded);
    endpoint.replicaSet.slowdown.record(state.nowMicros, bounded);
  }

  /** Expected slowdown: where an endpoint answered little, that of its set counts for more. */
  double expected(EndpointState endpoint) {
    double ofReplicaSet = endpoint.replicaSet.slowdown.mean(state.nowMicros, 1, 1);
    return endpoint.slowdown.mean(state.nowMicros, ofReplicaSet, PRIOR_WEIGHT);
  }
}
