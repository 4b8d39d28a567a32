package shelffront.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import shelffront.quota.DeficitRoundRobin.Flow;

class DeficitRoundRobinTest {

  @Test
  void floodedFlowDoesNotDelayAnotherFlow() {
    DeficitRoundRobin<String> scheduler = new DeficitRoundRobin<>(100);
    Flow<String> flood = new Flow<>(1);
    Flow<String> light = new Flow<>(1);
    for (int i = 0; i < 10_000; i++) {
      scheduler.add(flood, "flood");
    }
    scheduler.add(light, "light");
    int before = 0;
    while (scheduler.next().equals("flood")) {
      scheduler.charge(30);
      before++;
    }
    assertTrue(before <= 4, before + " items of the flooded flow came first");
  }

  @Test
  void returnsAllItemsOfAFlowInOrder() {
    DeficitRoundRobin<Integer> scheduler = new DeficitRoundRobin<>(10);
    Flow<Integer> flow = new Flow<>(0.5);
    for (int i = 0; i < 100; i++) {
      scheduler.add(flow, i);
    }
    for (int i = 0; i < 100; i++) {
      assertEquals(i, scheduler.next());
      scheduler.charge(1000);
    }
    assertNull(scheduler.next());
    assertTrue(scheduler.isEmpty());
  }

  /** Two backlogged flows are served in proportion to their weights, for any item costs. */
  @Property(tries = 200, seed = "2026")
  void dividesCostByWeight(
      @ForAll @IntRange(min = 1, max = 8) int weight,
      @ForAll @Size(min = 1, max = 20) List<@IntRange(min = 1, max = 500) Integer> costs) {
    DeficitRoundRobin<Integer> scheduler = new DeficitRoundRobin<>(100);
    List<Flow<Integer>> flows = List.of(new Flow<>(1), new Flow<>(weight));
    flows.forEach(flow -> scheduler.add(flow, flows.indexOf(flow)));
    double[] spent = new double[2];
    for (int i = 0; i < 20_000; i++) {
      int flowIndex = scheduler.next();
      int cost = costs.get(i % costs.size());
      scheduler.charge(cost);
      spent[flowIndex] += cost;
      scheduler.add(flows.get(flowIndex), flowIndex);
    }
    assertEquals(weight, spent[1] / spent[0], 0.1 * weight);
  }
}
