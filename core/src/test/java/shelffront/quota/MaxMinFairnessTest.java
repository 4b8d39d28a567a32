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
    double[] w = weights.stream().mapToDouble(x -> x).toArray();
    double[] d = demands.stream().limit(w.length).mapToDouble(x -> x).toArray();
    double[] parts = MaxMinFairness.divide(capacity, w, d);
    double slack = 1e-6 * (capacity + 1);
    assertEquals(Math.min(capacity, Arrays.stream(d).sum()), Arrays.stream(parts).sum(), slack);
    for (int i = 0; i < w.length; i++) {
      assertTrue(parts[i] <= d[i] + slack);
      for (int j = 0; j < w.length; j++) {
        // One that has less than it wants has no less for its weight than anybody.
        assertTrue(parts[i] >= d[i] - slack || parts[i] / w[i] >= parts[j] / w[j] - slack * 100);
      }
    }
  }
}
