package shelffront.quota;

/**
 * Decides on which of several event loops a tenant lives. It is chosen when the tenant resumes and
 * has nothing open: then a migration costs only what its decision module had learnt.
 *
 * <p>A loop's load is the part of its time that it has been busy of late, plus what is expected of
 * tenants that resumed on it since and do not show in that yet. Times are microseconds and never
 * step back. Threads: the caller's; it has to be one at a time.
 */
public final class EventLoopPlacement {

  /** Over how long a loop's load is judged. */
  public static final long LOAD_MEMORY_MICROS = 1_000_000;

  /** A tenant stays where it was unless its loop is busier by this than the least loaded one. */
  private static final double MIGRATION_THRESHOLD = 0.2;

  /** Load expected of a tenant of weight 1 that has just resumed. */
  private static final double EXPECTED_LOAD_PER_WEIGHT = 0.02;

  private final double[] busyFraction;
  private final double[] expectedLoad;
  private final long[] busyMicros; // since each loop's start, as last recorded
  private final double[] weights;
  private long recordedAtMicros;

  /** The load is 0 at first. */
  public EventLoopPlacement(int loops, long nowMicros) {
    busyFraction = new double[loops];
    expectedLoad = new double[loops];
    busyMicros = new long[loops];
    weights = new double[loops];
    recordedAtMicros = nowMicros;
  }

  /** Takes in how long each loop has been busy since its start. */
  public void recordBusyTime(long[] busyMicrosSoFar, long nowMicros) {
    long passedMicros = nowMicros - recordedAtMicros;
    if (passedMicros <= 0) {
      return;
    }
    double decay = Math.exp(-(double) passedMicros / LOAD_MEMORY_MICROS);
    for (int i = 0; i < busyFraction.length; i++) {
      double recentFraction =
          Math.min(1, Math.max(0, busyMicrosSoFar[i] - busyMicros[i]) / (double) passedMicros);
      busyFraction[i] = busyFraction[i] * decay + recentFraction * (1 - decay);
      expectedLoad[i] *= decay;
      busyMicros[i] = busyMicrosSoFar[i];
    }
    recordedAtMicros = nowMicros;
  }

  /**
   * Where a new tenant is to live: on the loop with the least weight, for it may never become
   * active.
   */
  public int placeNew(double weight) {
    int chosen = 0;
    for (int i = 1; i < weights.length; i++) {
      chosen = weights[i] < weights[chosen] ? i : chosen;
    }
    weights[chosen] += weight;
    return chosen;
  }

  /** A tenant of a weight no longer lives there. */
  public void remove(int loop, double weight) {
    weights[loop] -= weight;
  }

  /** Where a tenant that resumes is to live, which has lived on a loop and has nothing open. */
  public int placeResumed(int currentLoop, double weight) {
    int leastLoaded = leastLoadedPreferring(currentLoop);
    int chosen = isWorthMigrating(currentLoop, leastLoaded) ? leastLoaded : currentLoop;
    weights[currentLoop] -= weight;
    weights[chosen] += weight;
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

  private boolean isWorthMigrating(int from, int to) {
    return busyFraction[from] + expectedLoad[from] - busyFraction[to] - expectedLoad[to]
        > MIGRATION_THRESHOLD;
  }

  private double load(int loop) {
    return busyFraction[loop] + expectedLoad[loop];
  }
}
