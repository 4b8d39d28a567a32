package shelffront.quota;

/**
 * On which of several event loops a tenant lives. It is chosen when the tenant wakes and has
 * nothing open: then a move costs only what its module had learnt. A loop's load is the part of its
 * time that it has worked of late, and what is expected of tenants that woke on it since and are
 * not seen in that yet. Times are microseconds and never step back.
 */
public final class EventLoopPlacement {

  /** Over how long a loop's load is judged. */
  public static final long LOAD_MEMORY_MICROS = 1_000_000;

  /** A tenant stays where it was unless its loop works this much more than the least loaded one. */
  private static final double WORTH_A_MOVE = 0.2;

  /** Load expected of a tenant of weight 1 that has just woken. */
  private static final double EXPECTED = 0.02;

  private final double[] load;
  private final double[] expected;
  private final long[] worked;
  private final double[] weights;
  private long seenAt;

  /** The load is 0 at first. */
  public EventLoopPlacement(int loops, long now) {
    load = new double[loops];
    expected = new double[loops];
    worked = new long[loops];
    weights = new double[loops];
    seenAt = now;
  }

  /** Takes in how long each loop has worked since its start. */
  public void recordBusyTime(long[] workedSoFar, long now) {
    long passed = now - seenAt;
    if (passed <= 0) {
      return;
    }
    double fades = Math.exp(-(double) passed / LOAD_MEMORY_MICROS);
    for (int i = 0; i < load.length; i++) {
      double part = Math.min(1, Math.max(0, workedSoFar[i] - worked[i]) / (double) passed);
      load[i] = load[i] * fades + part * (1 - fades);
      expected[i] *= fades;
      worked[i] = workedSoFar[i];
    }
    seenAt = now;
  }

  /** Where a tenant that is new is to live: with the least weight, for it may never wake. */
  public int placeNew(double weight) {
    int least = 0;
    for (int i = 1; i < weights.length; i++) {
      least = weights[i] < weights[least] ? i : least;
    }
    weights[least] += weight;
    return least;
  }

  /** A tenant of a weight no longer lives there. */
  public void remove(int loop, double weight) {
    weights[loop] -= weight;
  }

  /** Where a tenant that wakes is to live, which has lived on a loop and has nothing open. */
  public int placeResumed(int present, double weight) {
    int least = present;
    for (int i = 0; i < load.length; i++) {
      least = load[i] + expected[i] < load[least] + expected[least] ? i : least;
    }
    int chosen =
        load[present] + expected[present] - load[least] - expected[least] > WORTH_A_MOVE
            ? least
            : present;
    weights[present] -= weight;
    weights[chosen] += weight;
    expected[chosen] += EXPECTED * weight;
    return chosen;
  }
}
