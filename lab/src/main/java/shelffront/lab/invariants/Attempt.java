package shelffront.lab.invariants;

import java.util.function.LongSupplier;

/** One attempt of a request at a host, as the checker sees it. Times are Unix microseconds. */
public final class Attempt {

  final String host;
  final long sentAtMicros;

  /** Since when the gateway waits for it no longer; read when it matters. */
  final LongSupplier abandonedAtMicros;

  long answeredAtMicros = Long.MAX_VALUE;
  boolean started;
  boolean provedNotExecuted;

  Attempt(String host, long sentAtMicros, LongSupplier abandonedAtMicros) {
    this.host = host;
    this.sentAtMicros = sentAtMicros;
    this.abandonedAtMicros = abandonedAtMicros;
  }

  /** The host has written its answer; one that may prove that nothing was executed. */
  public void answered(long atMicros, boolean provesNotExecuted) {
    answeredAtMicros = atMicros;
    provedNotExecuted = provesNotExecuted;
  }

  /** Whether its host has begun with it and no answer proves the contrary. */
  boolean mayHaveExecuted() {
    return started && !provedNotExecuted;
  }

  /** Whether the gateway still waited for it at a time. */
  boolean isOutAfter(long timeMicros) {
    return Math.min(answeredAtMicros, abandonedAtMicros.getAsLong()) > timeMicros;
  }
}
