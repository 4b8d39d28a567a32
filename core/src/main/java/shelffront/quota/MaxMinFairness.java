package shelffront.quota;

/**
 * Weighted max-min fairness by water-filling (Bertsekas and Gallager, Data Networks, 6.5.2): no
 * allocation exceeds its demand, and capacity that is left over is divided by weight among the
 * unsatisfied demands. Stateless.
 */
public final class MaxMinFairness {

  private MaxMinFairness() {}

  /**
   * Divides a capacity. Capacity and demands have the same unit and are not negative; weights are
   * above 0; both arrays have the same length.
   *
   * @return the allocations; their sum is the capacity or the sum of the demands, whichever is less
   */
  public static double[] divide(double capacity, double[] weights, double[] demands) {
    double[] allocations = new double[weights.length];
    boolean[] satisfied = new boolean[weights.length];
    double remaining = capacity;
    int unsatisfied = weights.length;
    while (unsatisfied > 0 && remaining > 0) {
      double perWeight = remaining / weightOfUnsatisfied(weights, satisfied);
      int unsatisfiedBefore = unsatisfied;
      for (int i = 0; i < weights.length; i++) {
        if (!satisfied[i] && demands[i] <= perWeight * weights[i]) {
          satisfied[i] = true;
          allocations[i] = demands[i];
          remaining -= demands[i];
          unsatisfied--;
        }
      }
      if (unsatisfied == unsatisfiedBefore) {
        divideByWeight(perWeight, weights, satisfied, allocations);
        return allocations;
      }
    }
    return allocations;
  }

  private static double weightOfUnsatisfied(double[] weights, boolean[] satisfied) {
    double sum = 0;
    for (int i = 0; i < weights.length; i++) {
      sum += satisfied[i] ? 0 : weights[i];
    }
    return sum;
  }

  /** Every remaining demand exceeds its share by weight, so each is allocated that share. */
  private static void divideByWeight(
      double perWeight, double[] weights, boolean[] satisfied, double[] allocations) {
    for (int i = 0; i < weights.length; i++) {
      allocations[i] = satisfied[i] ? allocations[i] : perWeight * weights[i];
    }
  }
}
