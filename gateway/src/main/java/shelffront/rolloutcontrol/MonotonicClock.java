package shelffront.rolloutcontrol;

/** This machine's monotonic clock, which all leases here run by. Any thread may call. */
final class MonotonicClock {

  private static final long NANOS_PER_MICRO = 1000;

  private MonotonicClock() {}

  static long nowMicros() {
    return System.nanoTime() / NANOS_PER_MICRO;
  }
}
