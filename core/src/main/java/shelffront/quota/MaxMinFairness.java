package shelffront.quota;

/**
 * Weighted max-min fairness by water-filling (Bertsekas and Gallager, Data Networks, 6.5.2): nobody
 * gets more than it asks for, and what one leaves is divided among those who want more, by their
 * weights.
 */
public final class MaxMinFairness {

  private MaxMinFairness() {}

  /**
   * Divides a capacity. All figures are in one unit, none negative, weights above 0; the arrays are
   * of one length. The parts add up to the capacity or to the sum of what is asked for, whichever
   * is less.
   */
  public static double[] divide(double capacity, double[] weights, double[] demands) {
    double[] parts = new double[weights.length];
    double left = capacity;
    int open = weights.length;
    boolean[] filled = new boolean[weights.length];
    while (open > 0 && left > 0) {
      double weight = 0;
      for (int i = 0; i < weights.length; i++) {
        weight += filled[i] ? 0 : weights[i];
      }
      double level = left / weight;
      int before = open;
      for (int i = 0; i < weights.length; i++) {
        if (!filled[i] && demands[i] <= level * weights[i]) {
          filled[i] = true;
          parts[i] = demands[i];
          left -= demands[i];
          open--;
        }
      }
      if (open == before) { // all that are left want more than their part
        for (int i = 0; i < weights.length; i++) {
          parts[i] = filled[i] ? parts[i] : level * weights[i];
        }
        return parts;
      }
    }
    return parts;
  }
}
