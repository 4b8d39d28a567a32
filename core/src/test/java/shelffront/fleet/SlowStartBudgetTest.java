package shelffront.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import shelffront.statistics.DecayingAverage;

/**
 * Tests that the independent budgets of gateways bound the load of warming hosts. All random
 * choices are seeded, so every run is the same.
 */
class SlowStartBudgetTest {

  private static final long SECOND = 1_000_000;

  private record Traffic(SlowStartBudget budget, long now) {}

  /**
   * Simulates Poisson traffic of one gateway for 60 s.
   *
   * @param rate mean requests per second
   * @param primaryFraction fraction of the requests that need the primary
   */
  private static Traffic traffic(SplittableRandom random, double rate, double primaryFraction) {
    SlowStartBudget budget = new SlowStartBudget(2);
    double now = 0;
    while (true) {
      now += -Math.log(1 - random.nextDouble()) / rate * SECOND;
      if (now > 60 * SECOND) {
        return new Traffic(budget, 60 * SECOND);
      }
      budget.recordRequest((long) now, random.nextDouble() < primaryFraction);
    }
  }

  @Test
  void doesNotCountReadsAgainstWrites() {
    // 6 % of the requests are writes. One of five hosts, at a third of its capacity, may get two
    // thirds of what a warm host gets, which is ten times the writes: no write may be refused
    // because of the reads of the replica set.
    Traffic traffic = traffic(new SplittableRandom(1), 10, 0.06);
    double budget = traffic.budget.budget(traffic.now, 0.33, 4, 40, false);
    int admitted = 0;
    for (int i = 0; i < 1_000; i++) {
      admitted += traffic.budget.admits(traffic.now, "w" + i, true, true, true, 0, budget) ? 1 : 0;
    }
    assertEquals(1_000, admitted);
  }

  @Test
  void givesReadsTheBudgetThatWritesToThePrimaryLeave() {
    Traffic traffic = traffic(new SplittableRandom(2), 10, 0.5);
    double budget =
        traffic.budget.budget(
            traffic.now, 0.25, 4, 200, false); // equals the writes: 100 in the window
    int reads = 0;
    for (int i = 0; i < 1_000; i++) {
      reads += traffic.budget.admits(traffic.now, "r" + i, false, true, true, 0, budget) ? 1 : 0;
    }
    assertTrue(
        reads < 200, reads + " of 1000 reads admitted although the writes use up the budget");
  }

  @Test
  void basesBudgetOfThePrimaryOnItsWrites() {
    // Half of the requests are writes, 100 in the window; each of eight warm hosts gets 25. At a
    // quarter of its capacity and an overload factor of 4, the primary may get half of its writes,
    // not an eighth.
    Traffic traffic = traffic(new SplittableRandom(7), 10, 0.5);
    int admitted = 0;
    for (int i = 0; i < 1_000; i++) {
      admitted +=
          traffic.budget.admits(
                  traffic.now,
                  "w" + i,
                  true,
                  true,
                  true,
                  0,
                  traffic.budget.budget(traffic.now, 0.25, 4, 25, true))
              ? 1
              : 0;
    }
    assertTrue(admitted > 450 && admitted < 550, admitted + " of 1000 writes admitted");
    assertTrue(traffic.budget.budget(traffic.now, 0.25, 4, 25, false) < 15, "budget of a replica");
  }

  @Test
  void dividesReadsAmongWarmingEndpointsOfAReplicaSet() {
    // Five warming hosts, each with a budget of a fifth of the requests: each request is admitted
    // by exactly one host.
    Traffic traffic = traffic(new SplittableRandom(3), 10, 0);
    double budget = 200 / 5.0;
    int admitted = 0;
    int admittedTwice = 0;
    int[] sendsPerHost = new int[5];
    for (int i = 0; i < 10_000; i++) {
      int hosts = 0;
      for (int host = 0; host < 5; host++) {
        if (traffic.budget.admits(
            traffic.now, "r" + i, false, false, true, host * budget, budget)) {
          hosts++;
          sendsPerHost[host]++;
        }
      }
      admitted += hosts > 0 ? 1 : 0;
      admittedTwice += hosts > 1 ? 1 : 0;
    }
    assertTrue(
        admitted > 9_000,
        admitted
            + " of 10000 admitted by a host; independent draws would leave a third without a host");
    assertTrue(admittedTwice < 1_000, admittedTwice + " admitted by two hosts");
    for (int count : sendsPerHost) {
      assertTrue(count > 1_500 && count < 2_500, count + " admitted by one host");
    }
  }

  @Test
  void countsWritesAsReadsWithoutAPrimary() {
    Traffic traffic = traffic(new SplittableRandom(4), 10, 0.5);
    int known = 0;
    int unknown = 0;
    for (int i = 0; i < 10_000; i++) {
      known += traffic.budget.admits(traffic.now, "r" + i, false, false, true, 0, 20) ? 1 : 0;
      unknown += traffic.budget.admits(traffic.now, "r" + i, false, false, false, 0, 20) ? 1 : 0;
    }
    assertTrue(
        unknown < known * 0.7, unknown + " admitted without a primary, " + known + " with one");
  }

  /** For any number of gateways and any traffic, the fleet as a whole stays near its budget. */
  @Property(tries = 40, seed = "2026")
  void keepsFleetNearItsBudget(
      @ForAll @IntRange(min = 1, max = 200) int gateways,
      @ForAll @DoubleRange(min = 0.05, max = 20) double rate,
      @ForAll @DoubleRange(min = 0.2, max = 1) double capacityFraction) {
    SplittableRandom random = new SplittableRandom(gateways * 31L + (long) (rate * 1000));
    double sendsPerHost =
        rate
            * SlowStartBudget.WINDOW_SECONDS
            / 4; // requests per window from each gateway to each of four warm hosts
    double sent = 0;
    double budgetSum = 0;
    int rounds = Math.max(1, 400 / gateways);
    for (int gateway = 0; gateway < gateways * rounds; gateway++) {
      Traffic traffic = traffic(random, rate, 0);
      double budget = traffic.budget.budget(traffic.now, capacityFraction, 2, sendsPerHost, false);
      // The request to admit, which counts itself.
      traffic.budget.recordRequest(traffic.now, false);
      int admitted = 0;
      for (int i = 0; i < 50; i++) {
        admitted +=
            traffic.budget.admits(traffic.now, gateway + "-" + i, false, false, true, 0, budget)
                ? 1
                : 0;
      }
      sent += admitted / 50.0 * rate * SlowStartBudget.WINDOW_SECONDS;
      budgetSum += budget;
    }
    assertTrue(sent <= budgetSum * 1.1, sent + " sent, budget " + budgetSum);
  }

  /**
   * Simulates a fleet and a replica set of five hosts, some of which start at the same time.
   * Traffic is uneven: a tenth of the gateways gets half of it. Each gateway restarts every 40 s on
   * average and then has no traffic counts.
   *
   * @param capacity requests per second that a warm host can serve
   * @param utilization fraction of that capacity that is used
   * @param budgetFactor factor applied to the budget; 1 for the production budget
   * @param minUsualSends minimum of the requests per window that each gateway counts for a warm
   *     host; 0 for the production budget
   */
  private record Fleet(
      int gateways,
      double capacity,
      double utilization,
      double capacityFraction,
      int warmingHosts,
      double budgetFactor,
      double minUsualSends) {

    private static final double OVERLOAD_WINDOW_SECONDS = 2;
    private static final double OVERLOAD_FACTOR = 3;
    private static final int HOSTS = 5;

    double allowedRequests() {
      return OVERLOAD_FACTOR * capacityFraction * capacity * OVERLOAD_WINDOW_SECONDS;
    }

    /**
     * Maximum number of requests that the first warming host gets in any overload window of a
     * simulation of 200 s.
     */
    int maxSendsInWindow() {
      List<Double> sends = new ArrayList<>();
      SplittableRandom random =
          new SplittableRandom(
              Double.hashCode(capacity) * 31L
                  + gateways * 1_000L
                  + (long) (capacityFraction * 100)
                  + warmingHosts);
      int busyGateways = Math.max(1, gateways / 10);
      for (int gateway = 0; gateway < gateways; gateway++) {
        double mean = capacity * utilization * HOSTS / gateways;
        sends(
            gateway,
            gateways < 10
                ? mean
                : gateway < busyGateways
                    ? mean * gateways / busyGateways / 2
                    : mean * gateways / (gateways - busyGateways) / 2,
            random,
            sends);
      }
      Collections.sort(sends);
      int maxSends = 0;
      for (int first = 0, last = 0; last < sends.size(); last++) {
        while (sends.get(last) - sends.get(first) > OVERLOAD_WINDOW_SECONDS) {
          first++;
        }
        maxSends = Math.max(maxSends, last - first + 1);
      }
      return maxSends;
    }

    /** The maximum relative to the bound that allows for random variation. */
    double maxSendsOverBound() {
      return maxSendsInWindow() / (allowedRequests() + 2 * Math.sqrt(allowedRequests()) + 2);
    }

    private void sends(int gateway, double perSecond, SplittableRandom random, List<Double> sends) {
      SlowStartBudget budget = new SlowStartBudget(OVERLOAD_WINDOW_SECONDS);
      DecayingAverage warm =
          new DecayingAverage(
              SlowStartBudget.WINDOW_SECONDS); // sends to a warm host of the replica set
      double atSeconds = 0;
      double gapSeconds;
      while ((atSeconds += gapSeconds = -Math.log(1 - random.nextDouble()) / perSecond) < 220) {
        if (random.nextDouble() < 1 - Math.exp(-gapSeconds / 40)) {
          budget = new SlowStartBudget(OVERLOAD_WINDOW_SECONDS);
          warm = new DecayingAverage(SlowStartBudget.WINDOW_SECONDS);
        }
        long now = (long) (atSeconds * SECOND);
        budget.recordRequest(now, false);
        double usualSends = Math.max(minUsualSends, warm.count(now) + 1.0 / HOSTS);
        double budgetPerHost =
            budgetFactor * budget.budget(now, capacityFraction, OVERLOAD_FACTOR, usualSends, false);
        boolean admitted = false;
        for (int host = 0; host < warmingHosts; host++) {
          if (budget.admits(
              now,
              gateway + "-" + atSeconds,
              false,
              false,
              true,
              host * budgetPerHost,
              budgetPerHost)) {
            admitted = true;
            if (host == 0 && atSeconds > 20) {
              sends.add(atSeconds);
            }
          }
        }
        if (!admitted && random.nextInt(HOSTS - warmingHosts) == 0) {
          warm.record(now, 1);
        }
      }
    }
  }

  /**
   * Checks the bound at which a warming host fails: if the settings allow it N requests in the
   * overload window, including the slow-start ramp, it fails beyond N + 2 * sqrt(N) + 2 requests
   * from all gateways together.
   *
   * <p>The requests of the host are the sum of many independent choices of low probability, so they
   * are approximately Poisson distributed with mean N / 2 * utilization: the budget is half the
   * overload factor of what a warm host gets, which is utilization * capacity. At full utilization,
   * the probability of exceeding the bound in one overload window is 1.4e-5 for N = 1, 8.3e-5 for N
   * = 2, 8e-6 for N = 4, 1.4e-6 for N = 10 and 3e-9 for N = 30. At a utilization of 0.75, close to
   * the maximum of the operators' scenarios outside overload, it is a fifth of that or less; with a
   * budget four times as large it is then 0.04, 0.18, 0.64 and 0.99 for N = 4, 10, 30 and 100.
   */
  @Test
  void keepsFleetWithinTheFailureBound() {
    for (int gateways : new int[] {5, 20, 30, 100}) {
      for (double capacity : new double[] {0.5, 2, 10, 50}) {
        for (double capacityFraction : new double[] {0.18, 0.5, 0.9}) {
          for (int warmingHosts : new int[] {1, 3}) {
            Fleet fleet = new Fleet(gateways, capacity, 0.75, capacityFraction, warmingHosts, 1, 0);
            double sendsOverBound = fleet.maxSendsOverBound();
            assertTrue(
                sendsOverBound <= 1,
                fleet
                    + " reached "
                    + sendsOverBound
                    + " of the bound in its worst overload window");
            // At full utilization, six requests in an overload window occur for N = 1.5, as the
            // probabilities above predict.
            Fleet full = new Fleet(gateways, capacity, 1, capacityFraction, warmingHosts, 1, 0);
            assertTrue(
                full.maxSendsInWindow()
                    < 0.9 * (full.allowedRequests() + 3 * Math.sqrt(full.allowedRequests()) + 3),
                full
                    + " reached "
                    + full.maxSendsInWindow()
                    + " requests in its worst overload window");
          }
        }
      }
    }
  }

  @Test
  void exceedsTheFailureBoundWithAFourfoldBudget() {
    for (int gateways : new int[] {5, 20, 30, 100}) {
      Fleet fleet = new Fleet(gateways, 10, 0.75, 0.18, 1, 4, 0);
      assertTrue(
          fleet.maxSendsOverBound() > 1,
          fleet + " stayed at " + fleet.maxSendsOverBound() + " of the bound");
    }
    assertTrue(
        new Fleet(100, 10, 1, 0.18, 1, 1, 10).maxSendsOverBound() > 1,
        "a minimum budget per gateway exceeds the bound too");
  }

  @Test
  void countsASuddenIncreaseInDemandAtOnce() {
    Traffic traffic = traffic(new SplittableRandom(5), 2, 0);
    int before = 0;
    int after = 0;
    for (int i = 0; i < 1_000; i++) {
      before += traffic.budget.admits(traffic.now, "r" + i, false, false, true, 0, 20) ? 1 : 0;
    }
    for (int i = 0; i < 60; i++) {
      traffic.budget.recordRequest(traffic.now + i * SECOND / 60, false);
    }
    for (int i = 0; i < 1_000; i++) {
      after +=
          traffic.budget.admits(traffic.now + SECOND, "r" + i, false, false, true, 0, 20) ? 1 : 0;
    }
    assertTrue(after * 3 < before, before + " of 1000 admitted before, " + after + " after");
  }

  @Test
  void growsCapacityFractionWithAgeWithinBounds() {
    assertEquals(0.2, SlowStartBudget.capacityFraction(0, 0.2, 10 * SECOND));
    assertEquals(
        0.2,
        SlowStartBudget.capacityFraction(-SECOND, 0.2, 10 * SECOND),
        "start time in the future according to the list");
    assertEquals(0.6, SlowStartBudget.capacityFraction(5 * SECOND, 0.2, 10 * SECOND), 1e-9);
    assertEquals(1, SlowStartBudget.capacityFraction(10 * SECOND, 0.2, 10 * SECOND));
    assertEquals(
        1,
        SlowStartBudget.capacityFraction(0, 0.2, 0),
        "a slow start of 0 s gives full capacity at once");
  }

  @Test
  void admitsTheSameRequestConsistently() {
    Traffic traffic = traffic(new SplittableRandom(6), 10, 0);
    for (int i = 0; i < 100; i++) {
      boolean first = traffic.budget.admits(traffic.now, "r" + i, false, false, true, 0, 50);
      assertEquals(first, traffic.budget.admits(traffic.now, "r" + i, false, false, true, 0, 50));
    }
    assertFalse(
        traffic.budget.admits(traffic.now, "r", false, false, true, 0, 0),
        "a budget of 0 admits nothing");
  }
}
