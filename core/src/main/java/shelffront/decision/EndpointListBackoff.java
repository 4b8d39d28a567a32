package shelffront.decision;

/**
 * Schedules new watches of the endpoint list after failures, with exponential backoff and jitter.
 */
final class EndpointListBackoff {

  private static final long INITIAL_BACKOFF_MICROS = 100_000;
  private static final long MAX_BACKOFF_MICROS = 600_000;
  private static final int MAX_DOUBLINGS = 5;

  private final RoutingState state;
  private int consecutiveFailures;

  EndpointListBackoff(RoutingState state) {
    this.state = state;
  }

  void recordSuccess() {
    consecutiveFailures = 0;
  }

  /**
   * Schedules a new watch after 0.5 to 1.5 times the backoff interval; the jitter keeps gateways
   * from sending their requests at the same time.
   */
  void recordFailure() {
    long backoffMicros =
        Math.min(
            MAX_BACKOFF_MICROS,
            INITIAL_BACKOFF_MICROS << Math.min(MAX_DOUBLINGS, consecutiveFailures));
    consecutiveFailures++;
    state.schedule(
        state.nowMicros + backoffMicros / 2 + state.random.nextInt((int) backoffMicros),
        () -> state.actions.watchEndpoints(true));
  }
}
