package shelffront.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests that subsets are balanced across the fleet for any number of gateways and hosts. */
class EndpointSubsettingTest {

  private static List<String> names(String kind, int from, int count) {
    return IntStream.range(from, from + count)
        .mapToObj(index -> kind + index)
        .collect(Collectors.toList());
  }

  private static Set<String> pairs(List<String> gateways, List<String> hosts, int size) {
    return pairs(gateways, gateway -> true, hosts, size);
  }

  private static Set<String> pairs(
      List<String> gateways, IntPredicate up, List<String> hosts, int size) {
    List<List<String>> subsets = EndpointSubsetting.subsets(gateways, up, hosts, size);
    Set<String> pairs = new HashSet<>();
    for (int gateway = 0; gateway < gateways.size(); gateway++) {
      for (String host : subsets.get(gateway)) {
        pairs.add(gateways.get(gateway) + " " + host);
      }
    }
    return pairs;
  }

  @Property(tries = 300, seed = "2026")
  void keepsEveryEndpointWithinOneGatewayOfTheMean(
      @ForAll @IntRange(min = 1, max = 300) int gateways,
      @ForAll @IntRange(min = 1, max = 12) int hosts,
      @ForAll @IntRange(min = 1, max = 12) int size) {
    List<List<String>> subsets =
        EndpointSubsetting.subsets(
            names("n", 0, gateways), gateway -> true, names("s-", 0, hosts), size);
    Map<String, Long> load =
        subsets.stream()
            .flatMap(List::stream)
            .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    double mean = gateways * (double) Math.min(size, hosts) / hosts;
    for (String host : names("s-", 0, hosts)) {
      double deviation = Math.abs(load.getOrDefault(host, 0L) - mean);
      assertTrue(deviation <= 1, host + " has " + load.get(host) + " gateways, mean " + mean);
    }
    for (List<String> own : subsets) {
      assertEquals(Math.min(size, hosts), new HashSet<>(own).size());
    }
  }

  /** Covers the largest fleet, of a thousand gateways, and the smallest ones. */
  @Test
  void assignsFleetsOfOneTwoAndAThousand() {
    assertEquals(
        List.of("s-0", "s-1", "s-2"),
        EndpointSubsetting.subsets(
                List.of("n0"), gateway -> true, names("s-", 0, 3), EndpointSubsetting.size(1, 3))
            .get(0));
    assertEquals(
        3,
        EndpointSubsetting.subsets(
                names("n", 0, 2), gateway -> true, names("s-", 0, 3), EndpointSubsetting.size(2, 3))
            .get(1)
            .size());
    assertEquals(
        List.of(List.of()),
        EndpointSubsetting.subsets(
            List.of("n0"), gateway -> true, List.of(), EndpointSubsetting.size(1, 0)));
    assertEquals(
        List.of(), EndpointSubsetting.subsets(List.of(), gateway -> true, names("s-", 0, 3), 2));
    List<List<String>> subsets =
        EndpointSubsetting.subsets(names("n", 0, 1000), gateway -> true, names("s-", 0, 120), 3);
    Map<String, Long> load =
        subsets.stream()
            .flatMap(List::stream)
            .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    assertEquals(120, load.size());
    assertTrue(
        load.values().stream().allMatch(count -> count >= 24 && count <= 26), load.toString());
  }

  /** The order in which a gateway learns of the endpoints must not change the result. */
  @Test
  void givesTheSameForEndpointsInAnyOrder() {
    List<String> hosts = names("s-", 0, 6);
    List<List<String>> subsets =
        EndpointSubsetting.subsets(names("n", 0, 100), gateway -> true, hosts, 2);
    for (int seed = 0; seed < 10; seed++) {
      Collections.shuffle(hosts, new Random(seed));
      assertEquals(
          subsets, EndpointSubsetting.subsets(names("n", 0, 100), gateway -> true, hosts, 2));
    }
  }

  /**
   * Mean number of gateway-host pairs that disappear when one more gateway stops, relative to the
   * pairs of that gateway.
   *
   * @param downFraction fraction of the gateways that are already down
   */
  private static double churn(int gateways, int hosts, double downFraction) {
    int size = EndpointSubsetting.size(gateways, hosts);
    List<String> fleet = names("n", 0, gateways);
    SplittableRandom random = new SplittableRandom(gateways * 31L + hosts);
    double changed = 0;
    int rounds = 40;
    for (int i = 0; i < rounds; i++) {
      List<Integer> order = new ArrayList<>(IntStream.range(0, gateways).boxed().toList());
      Collections.shuffle(order, new Random(random.nextLong()));
      Set<Integer> downGateways = new HashSet<>(order.subList(0, (int) (gateways * downFraction)));
      Set<String> removedPairs =
          pairs(fleet, gateway -> !downGateways.contains(gateway), names("s-", 0, hosts), size);
      downGateways.add(order.get(gateways - 1));
      removedPairs.removeAll(
          pairs(fleet, gateway -> !downGateways.contains(gateway), names("s-", 0, hosts), size));
      changed += removedPairs.size();
    }
    return changed / rounds / size;
  }

  @Test
  void movesFewAssignmentsWhenAGatewayStops() {
    for (int gateways : new int[] {20, 60, 100, 300}) {
      for (int hosts : new int[] {4, 5, 6}) {
        String fleet = gateways + " gateways, " + hosts + " hosts: ";
        double first = churn(gateways, hosts, 0);
        assertTrue(first <= 1.2, fleet + first);
        double later = churn(gateways, hosts, 0.1);
        assertTrue(later <= 2, fleet + later + " with a tenth down");
        double last = churn(gateways, hosts, 0.7);
        assertTrue(last <= 2.5, fleet + last + " with seven in ten down");
      }
    }
  }

  /** The gateways that remain up are balanced across the hosts as evenly as the whole fleet. */
  @Property(tries = 100, seed = "2027")
  void keepsRemainingFleetNearTheMean(
      @ForAll @IntRange(min = 2, max = 200) int gateways,
      @ForAll @IntRange(min = 3, max = 8) int hosts,
      @ForAll @IntRange(min = 0, max = 9) int tenthsDown) {
    Random random = new Random(gateways * 100L + tenthsDown);
    boolean[] up = new boolean[gateways];
    int upCount = 0;
    for (int gateway = 0; gateway < gateways; gateway++) {
      up[gateway] = random.nextInt(10) >= tenthsDown;
      upCount += up[gateway] ? 1 : 0;
    }
    Map<String, Long> load =
        EndpointSubsetting.subsets(
                names("n", 0, gateways), gateway -> up[gateway], names("s-", 0, hosts), 2)
            .stream()
            .flatMap(List::stream)
            .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    double mean = upCount * 2.0 / hosts;
    for (String host : names("s-", 0, hosts)) {
      double deviation = Math.abs(load.getOrDefault(host, 0L) - mean);
      assertTrue(
          deviation <= Math.max(1, mean * EndpointSubsetting.MAX_IMBALANCE),
          host + " has " + load.get(host) + " gateways, mean " + mean);
    }
  }

  @Test
  void movesFewAssignmentsWhenAnEndpointIsReplaced() {
    for (int gateways : new int[] {20, 60, 100, 300}) {
      List<String> old = names("s-", 0, 6);
      List<String> next = names("s-", 1, 6);
      Set<String> removedPairs = pairs(names("n", 0, gateways), old, 2);
      int pairCount = removedPairs.size();
      removedPairs.removeAll(pairs(names("n", 0, gateways), next, 2));
      removedPairs.removeIf(pair -> pair.endsWith(" s-0"));
      assertTrue(
          removedPairs.size() <= pairCount * 0.25,
          removedPairs.size() + " of " + pairCount + " assignments to other hosts moved");
    }
  }

  @Test
  void usesEveryEndpointInASmallFleet() {
    assertEquals(5, EndpointSubsetting.size(5, 5));
    assertEquals(5, EndpointSubsetting.size(16, 5));
    assertEquals(2, EndpointSubsetting.size(60, 5));
    assertEquals(2, EndpointSubsetting.size(1000, 6));
    assertEquals(1, EndpointSubsetting.size(1000, 1));
  }
}
