package shelffront.quota;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** That nobody gets more than it asks for, and that nothing is left that somebody wants. */
class MaxMinFairnessTest {

  @Test
  void whatOneLeavesGoesToTheOthersByWeight() {
    assertArrayEquals(
        new double[] {10, 30, 60},
        MaxMinFairness.divide(100, new double[] {1, 1, 2}, new double[] {10, 1000, 1000}),
        1e-9);
  }

  @Property(seed = "2026")
  void isFairAndLeavesNothingThatIsWanted(
      @ForAll @DoubleRange(min = 0.01, max = 1e6) double capacity,
      @ForAll @Size(min = 1, max = 12) List<@DoubleRange(min = 0.01, max = 100) Double> weights,
      @ForAll @Size(12) List<@DoubleRange(min = 0, max = 1e6) Double> demands) {
    double[] weight = weights.stream().mapToDouble(value -> value).toArray();
    double[] demand = demands.stream().limit(weight.length).mapToDouble(value -> value).toArray();
    double[] parts = MaxMinFairness.divide(capacity, weight, demand);
    double slack = 1e-6 * (capacity + 1);
    assertEquals(
        Math.min(capacity, Arrays.stream(demand).sum()), Arrays.stream(parts).sum(), slack);
    for (int i = 0; i < weight.length; i++) {
      assertTrue(parts[i] <= demand[i] + slack);
      for (int j = 0; j < weight.length; j++) {
        // One that has less than it wants has no less for its weight than anybody.
        assertTrue(
            parts[i] >= demand[i] - slack
                || parts[i] / weight[i] >= parts[j] / weight[j] - slack * 100);
      }
    }
  }
}
