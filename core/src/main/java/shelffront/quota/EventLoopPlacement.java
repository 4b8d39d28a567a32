package shelffront.quota;

/**
 * Assigns tenants to event loops. The loop is chosen again when a tenant resumes without open
 * connections or requests, because a migration then costs only the state learned by its decision
 * module.
 *
 * <p>The load of a loop is the fraction of recent time during which it was busy, plus the expected
 * load of tenants that resumed on it and are not yet reflected in that fraction. Times are
 * microseconds and never decrease. Not thread-safe; callers need mutual exclusion.
 */
public final class EventLoopPlacement {

  /** Time constant of the decaying average of the load of a loop. */
  public static final long LOAD_TIME_CONSTANT_MICROS = 1_000_000;

  /** Load difference to the least loaded loop above which a resuming tenant migrates. */
  private static final double MIGRATION_THRESHOLD = 0.2;

  /** Expected load of a tenant of weight 1 that has just resumed. */
  private static final double EXPECTED_LOAD_PER_WEIGHT = 0.02;

  private final double[] busyFraction;
  private final double[] expectedLoad;
  private final long[] busyMicros; // busy time since the start of each loop, as last recorded
  private final double[] totalWeights;
  private long recordedAtMicros;

  /** Creates a placement in which every loop has a load of 0. */
  public EventLoopPlacement(int loopCount, long nowMicros) {
    busyFraction = new double[loopCount];
    expectedLoad = new double[loopCount];
    busyMicros = new long[loopCount];
    totalWeights = new double[loopCount];
    recordedAtMicros = nowMicros;
  }

  /** Records the time that each loop has been busy since its start. */
  public void recordBusyTime(long[] busyMicrosSoFar, long nowMicros) {
    long elapsedMicros = nowMicros - recordedAtMicros;
    if (elapsedMicros <= 0) {
      return;
    }
    double decay = Math.exp(-(double) elapsedMicros / LOAD_TIME_CONSTANT_MICROS);
    for (int i = 0; i < busyFraction.length; i++) {
      double recentFraction =
          Math.min(1, Math.max(0, busyMicrosSoFar[i] - busyMicros[i]) / (double) elapsedMicros);
      busyFraction[i] = busyFraction[i] * decay + recentFraction * (1 - decay);
      expectedLoad[i] *= decay;
      busyMicros[i] = busyMicrosSoFar[i];
    }
    recordedAtMicros = nowMicros;
  }

  /**
   * Assigns a new tenant to the loop with the least total weight, because the tenant may never
   * become active; returns the loop.
   */
  public int placeNew(double weight) {
    int chosen = 0;
    for (int i = 1; i < totalWeights.length; i++) {
      chosen = totalWeights[i] < totalWeights[chosen] ? i : chosen;
    }
    totalWeights[chosen] += weight;
    return chosen;
  }

  /** Removes a tenant of the given weight from a loop. */
  public void remove(int loop, double weight) {
    totalWeights[loop] -= weight;
  }

  /**
   * Assigns a tenant that resumes, and has no open connections or requests, to its current loop or
   * to a less loaded one; returns the loop.
   */
  public int placeResumed(int currentLoop, double weight) {
    int leastLoaded = leastLoadedPreferring(currentLoop);
    int chosen = shouldMigrate(currentLoop, leastLoaded) ? leastLoaded : currentLoop;
    totalWeights[currentLoop] -= weight;
    totalWeights[chosen] += weight;
    expectedLoad[chosen] += EXPECTED_LOAD_PER_WEIGHT * weight;
    return chosen;
  }

  private int leastLoadedPreferring(int currentLoop) {
    int least = currentLoop;
    for (int i = 0; i < busyFraction.length; i++) {
      least = load(i) < load(least) ? i : least;
    }
    return least;
  }

  private boolean shouldMigrate(int from, int to) {
    return busyFraction[from] + expectedLoad[from] - busyFraction[to] - expectedLoad[to]
        > MIGRATION_THRESHOLD;
  }

  private double load(int loop) {
    return busyFraction[loop] + expectedLoad[loop];
  }
}
