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

/** Tests that no allocation exceeds its demand and that no demanded capacity is left over. */
class MaxMinFairnessTest {

  @Test
  void dividesUnusedCapacityByWeight() {
    assertArrayEquals(
        new double[] {10, 30, 60},
        MaxMinFairness.divide(100, new double[] {1, 1, 2}, new double[] {10, 1000, 1000}),
        1e-9);
  }

  @Property(seed = "2026")
  void isFairAndAllocatesAllDemandedCapacity(
      @ForAll @DoubleRange(min = 0.01, max = 1e6) double capacity,
      @ForAll @Size(min = 1, max = 12) List<@DoubleRange(min = 0.01, max = 100) Double> weights,
      @ForAll @Size(12) List<@DoubleRange(min = 0, max = 1e6) Double> demands) {
    double[] weight = weights.stream().mapToDouble(value -> value).toArray();
    double[] demand = demands.stream().limit(weight.length).mapToDouble(value -> value).toArray();
    double[] allocations = MaxMinFairness.divide(capacity, weight, demand);
    double tolerance = 1e-6 * (capacity + 1);
    assertEquals(
        Math.min(capacity, Arrays.stream(demand).sum()),
        Arrays.stream(allocations).sum(),
        tolerance);
    for (int i = 0; i < weight.length; i++) {
      assertTrue(allocations[i] <= demand[i] + tolerance);
      for (int j = 0; j < weight.length; j++) {
        // An unsatisfied demand gets no less per weight than any other.
        assertTrue(
            allocations[i] >= demand[i] - tolerance
                || allocations[i] / weight[i] >= allocations[j] / weight[j] - tolerance * 100);
      }
    }
  }
}
