package shelffront.decision;

/**
 * Schedules new watches of the endpoint list after failures, with exponential backoff and jitter.
 */
final class EndpointListBackoff {

  private static final long FIRST_MICROS = 100_000;
  private static final long MAX_MICROS = 600_000;
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
    long pauseMicros =
        Math.min(MAX_MICROS, FIRST_MICROS << Math.min(MAX_DOUBLINGS, consecutiveFailures));
    consecutiveFailures++;
    state.schedule(
        state.nowMicros + pauseMicros / 2 + state.random.nextInt((int) pauseMicros),
        () -> state.actions.watchEndpoints(true));
  }
}
