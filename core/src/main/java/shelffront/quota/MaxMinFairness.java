package shelffront.quota;

/**
 * Weighted max-min fairness by water-filling (Bertsekas and Gallager, Data Networks, 6.5.2): nobody
 * gets more than it asks for, and what one leaves is divided among those that want more, by their
 * weights. Has no state.
 */
public final class MaxMinFairness {

  private MaxMinFairness() {}

  /**
   * Divides a capacity. All figures are in one unit, none negative, weights above 0; the arrays are
   * of one length. The parts add up to the capacity or to the sum of the demands, whichever is
   * less.
   */
  public static double[] divide(double capacity, double[] weights, double[] demands) {
    double[] parts = new double[weights.length];
    boolean[] satisfied = new boolean[weights.length];
    double remaining = capacity;
    int unsatisfied = weights.length;
    while (unsatisfied > 0 && remaining > 0) {
      double perWeight = remaining / weightOfUnsatisfied(weights, satisfied);
      int before = unsatisfied;
      for (int i = 0; i < weights.length; i++) {
        if (!satisfied[i] && demands[i] <= perWeight * weights[i]) {
          satisfied[i] = true;
          parts[i] = demands[i];
          remaining -= demands[i];
          unsatisfied--;
        }
      }
      if (unsatisfied == before) {
        divideByWeight(perWeight, weights, satisfied, parts);
        return parts;
      }
    }
    return parts;
  }

  private static double weightOfUnsatisfied(double[] weights, boolean[] satisfied) {
    double sum = 0;
    for (int i = 0; i < weights.length; i++) {
      sum += satisfied[i] ? 0 : weights[i];
    }
    return sum;
  }

  /** All that remain want more than their part: each gets its part by weight. */
  private static void divideByWeight(
      double perWeight, double[] weights, boolean[] satisfied, double[] parts) {
    for (int i = 0; i < weights.length; i++) {
      parts[i] = satisfied[i] ? parts[i] : perWeight * weights[i];
    }
  }
}
