package shelffront.decision;

/** When the endpoint list is asked for again after a failure: with doubling, jittered pauses. */
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

  /** Watches the list again after half the pause and up to a whole one more. */
  void recordFailure() {
    long pauseMicros =
        Math.min(MAX_MICROS, FIRST_MICROS << Math.min(MAX_DOUBLINGS, consecutiveFailures));
    consecutiveFailures++;
    state.schedule(
        state.nowMicros + pauseMicros / 2 + state.random.nextInt((int) pauseMicros),
        () -> state.actions.watchEndpoints(true));
  }
}
