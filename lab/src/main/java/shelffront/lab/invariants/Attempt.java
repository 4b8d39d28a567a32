package shelffront.lab.invariants;

import java.util.function.LongSupplier;

/** One attempt of a request at a host, as the checker sees it. Times are Unix microseconds. */
public final class Attempt {

  final String host;
  final long sentAtMicros;

  /** Supplies the time since which the gateway no longer waits; evaluated at each check. */
  final LongSupplier abandonedAtMicros;

  long answeredAtMicros = Long.MAX_VALUE;
  boolean started;
  boolean provedNotExecuted;

  Attempt(String host, long sentAtMicros, LongSupplier abandonedAtMicros) {
    this.host = host;
    this.sentAtMicros = sentAtMicros;
    this.abandonedAtMicros = abandonedAtMicros;
  }

  /**
   * Records that the host has written its response.
   *
   * @param provesNotExecuted whether the response guarantees that nothing was executed
   */
  public void answered(long atMicros, boolean provesNotExecuted) {
    answeredAtMicros = atMicros;
    provedNotExecuted = provesNotExecuted;
  }

  /** Whether the host started execution and no response has proved the contrary. */
  boolean mayHaveExecuted() {
    return started && !provedNotExecuted;
  }

  /** Whether the gateway was still waiting for the response after {@code timeMicros}. */
  boolean isInFlightAfter(long timeMicros) {
    return Math.min(answeredAtMicros, abandonedAtMicros.getAsLong()) > timeMicros;
  }
}
