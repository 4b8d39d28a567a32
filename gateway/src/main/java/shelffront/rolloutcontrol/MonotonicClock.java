package shelffront.rolloutcontrol;

/** The monotonic clock of this machine, by which all leases are timed. Thread-safe. */
final class MonotonicClock {

  private static final long NANOS_PER_MICRO = 1000;

  private MonotonicClock() {}

  static long nowMicros() {
    return System.nanoTime() / NANOS_PER_MICRO;
  }
}
