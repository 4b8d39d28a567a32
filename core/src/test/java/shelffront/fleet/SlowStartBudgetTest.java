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

  private record Asked(SlowStartBudget budget, long now) {}

  /**
   * Simulates Poisson traffic of one gateway for 60 s.
   *
   * @param rate mean requests per second
   * @param owedShare fraction of the requests that need the primary
   */
  private static Asked traffic(SplittableRandom random, double rate, double owedShare) {
    SlowStartBudget budget = new SlowStartBudget(2);
    double now = 0;
    while (true) {
      now += -Math.log(1 - random.nextDouble()) / rate * SECOND;
      if (now > 60 * SECOND) {
        return new Asked(budget, 60 * SECOND);
      }
      budget.recordRequest((long) now, random.nextDouble() < owedShare);
    }
  }

  @Test
  void measuresWritesAgainstWritesAlone() {
    // 6 % of the requests are writes. One of five hosts, at a third of its capacity, may get two
    // thirds of what a warm host gets, which is ten times the writes: no write may be refused
    // because of the reads of the replica set.
    Asked asked = traffic(new SplittableRandom(1), 10, 0.06);
    double budget = asked.budget.budget(asked.now, 0.33, 4, 40, false);
    int admitted = 0;
    for (int i = 0; i < 1_000; i++) {
      admitted += asked.budget.admits(asked.now, "w" + i, true, true, true, 0, budget) ? 1 : 0;
    }
    assertEquals(1_000, admitted);
  }

  @Test
  void givesReadsOnlyWhatAPrimarysWritesLeave() {
    Asked asked = traffic(new SplittableRandom(2), 10, 0.5);
    double budget =
        asked.budget.budget(asked.now, 0.25, 4, 200, false); // equals the writes: 100 in the window
    int reads = 0;
    for (int i = 0; i < 1_000; i++) {
      reads += asked.budget.admits(asked.now, "r" + i, false, true, true, 0, budget) ? 1 : 0;
    }
    assertTrue(
        reads < 200, reads + " of 1000 reads admitted although the writes use up the budget");
  }

  @Test
  void measuresPrimaryByWhatItUsuallyBears() {
    // Half of the requests are writes, 100 in the window; each of eight warm hosts gets 25. At a
    // quarter of its capacity and an overload factor of 4, the primary may get half of its writes,
    // not an eighth.
    Asked asked = traffic(new SplittableRandom(7), 10, 0.5);
    int admitted = 0;
    for (int i = 0; i < 1_000; i++) {
      admitted +=
          asked.budget.admits(
                  asked.now,
                  "w" + i,
                  true,
                  true,
                  true,
                  0,
                  asked.budget.budget(asked.now, 0.25, 4, 25, true))
              ? 1
              : 0;
    }
    assertTrue(admitted > 450 && admitted < 550, admitted + " of 1000 writes admitted");
    assertTrue(asked.budget.budget(asked.now, 0.25, 4, 25, false) < 15, "budget of a replica");
  }

  @Test
  void sharesOneDrawAmongEndpointsOfAReplicaSet() {
    // Five warming hosts, each with a budget of a fifth of the requests: each request is admitted
    // by exactly one host.
    Asked asked = traffic(new SplittableRandom(3), 10, 0);
    double budget = 200 / 5.0;
    int met = 0;
    int twice = 0;
    int[] each = new int[5];
    for (int i = 0; i < 10_000; i++) {
      int hosts = 0;
      for (int host = 0; host < 5; host++) {
        if (asked.budget.admits(asked.now, "r" + i, false, false, true, host * budget, budget)) {
          hosts++;
          each[host]++;
        }
      }
      met += hosts > 0 ? 1 : 0;
      twice += hosts > 1 ? 1 : 0;
    }
    assertTrue(
        met > 9_000,
        met + " of 10000 admitted by a host; independent draws would leave a third without a host");
    assertTrue(twice < 1_000, twice + " admitted by two hosts");
    for (int count : each) {
      assertTrue(count > 1_500 && count < 2_500, count + " admitted by one host");
    }
  }

  @Test
  void countsWritesAsReadsWithoutAPrimary() {
    Asked asked = traffic(new SplittableRandom(4), 10, 0.5);
    int known = 0;
    int unknown = 0;
    for (int i = 0; i < 10_000; i++) {
      known += asked.budget.admits(asked.now, "r" + i, false, false, true, 0, 20) ? 1 : 0;
      unknown += asked.budget.admits(asked.now, "r" + i, false, false, false, 0, 20) ? 1 : 0;
    }
    assertTrue(
        unknown < known * 0.7, unknown + " admitted without a primary, " + known + " with one");
  }

  /** For any number of gateways and any traffic, the fleet as a whole stays near its budget. */
  @Property(tries = 40, seed = "2026")
  void keepsFleetNearItsBudget(
      @ForAll @IntRange(min = 1, max = 200) int gateways,
      @ForAll @DoubleRange(min = 0.05, max = 20) double rate,
      @ForAll @DoubleRange(min = 0.2, max = 1) double warmth) {
    SplittableRandom random = new SplittableRandom(gateways * 31L + (long) (rate * 1000));
    double each =
        rate
            * SlowStartBudget.WINDOW_SECONDS
            / 4; // requests per window from each gateway to each of four warm hosts
    double sent = 0;
    double mayHave = 0;
    int rounds = Math.max(1, 400 / gateways);
    for (int gateway = 0; gateway < gateways * rounds; gateway++) {
      Asked asked = traffic(random, rate, 0);
      double budget = asked.budget.budget(asked.now, warmth, 2, each, false);
      // The request to admit, which counts itself.
      asked.budget.recordRequest(asked.now, false);
      int admitted = 0;
      for (int i = 0; i < 50; i++) {
        admitted +=
            asked.budget.admits(asked.now, gateway + "-" + i, false, false, true, 0, budget)
                ? 1
                : 0;
      }
      sent += admitted / 50.0 * rate * SlowStartBudget.WINDOW_SECONDS;
      mayHave += budget;
    }
    assertTrue(sent <= mayHave * 1.1, sent + " sent, budget " + mayHave);
  }

  /**
   * Simulates a fleet and a replica set of five hosts, some of which start at the same time.
   * Traffic is uneven: a tenth of the gateways gets half of it. Each gateway restarts every 40 s on
   * average and then has no traffic counts.
   *
   * @param capacity requests per second that a warm host can serve
   * @param use fraction of that capacity that is used
   * @param times factor applied to the budget; 1 for the production budget
   * @param least minimum of the requests per window that each gateway counts for a warm host; 0 for
   *     the production budget
   */
  private record Fleet(
      int gateways,
      double capacity,
      double use,
      double warmth,
      int cold,
      double times,
      double least) {

    private static final double FALL_SECONDS = 2;
    private static final double MULTIPLE = 3;
    private static final int HOSTS = 5;

    double allowedRequests() {
      return MULTIPLE * warmth * capacity * FALL_SECONDS;
    }

    /**
     * Maximum number of requests that the first warming host gets in any overload window of a
     * simulation of 200 s.
     */
    int worst() {
      List<Double> sends = new ArrayList<>();
      SplittableRandom random =
          new SplittableRandom(
              Double.hashCode(capacity) * 31L + gateways * 1_000L + (long) (warmth * 100) + cold);
      int busy = Math.max(1, gateways / 10);
      for (int gateway = 0; gateway < gateways; gateway++) {
        double mean = capacity * use * HOSTS / gateways;
        sends(
            gateway,
            gateways < 10
                ? mean
                : gateway < busy
                    ? mean * gateways / busy / 2
                    : mean * gateways / (gateways - busy) / 2,
            random,
            sends);
      }
      Collections.sort(sends);
      int most = 0;
      for (int first = 0, last = 0; last < sends.size(); last++) {
        while (sends.get(last) - sends.get(first) > FALL_SECONDS) {
          first++;
        }
        most = Math.max(most, last - first + 1);
      }
      return most;
    }

    /** The maximum relative to the bound that allows for random variation. */
    double worstOverBound() {
      return worst() / (allowedRequests() + 2 * Math.sqrt(allowedRequests()) + 2);
    }

    private void sends(int gateway, double perSecond, SplittableRandom random, List<Double> sends) {
      SlowStartBudget budget = new SlowStartBudget(FALL_SECONDS);
      DecayingAverage warm =
          new DecayingAverage(
              SlowStartBudget.WINDOW_SECONDS); // sends to a warm host of the replica set
      double at = 0;
      double gap;
      while ((at += gap = -Math.log(1 - random.nextDouble()) / perSecond) < 220) {
        if (random.nextDouble() < 1 - Math.exp(-gap / 40)) {
          budget = new SlowStartBudget(FALL_SECONDS);
          warm = new DecayingAverage(SlowStartBudget.WINDOW_SECONDS);
        }
        long now = (long) (at * SECOND);
        budget.recordRequest(now, false);
        double usual = Math.max(least, warm.count(now) + 1.0 / HOSTS);
        double may = times * budget.budget(now, warmth, MULTIPLE, usual, false);
        boolean admitted = false;
        for (int host = 0; host < cold; host++) {
          if (budget.admits(now, gateway + "-" + at, false, false, true, host * may, may)) {
            admitted = true;
            if (host == 0 && at > 20) {
              sends.add(at);
            }
          }
        }
        if (!admitted && random.nextInt(HOSTS - cold) == 0) {
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
  void keepsFleetUnderTheBoundOfChance() {
    for (int gateways : new int[] {5, 20, 30, 100}) {
      for (double capacity : new double[] {0.5, 2, 10, 50}) {
        for (double warmth : new double[] {0.18, 0.5, 0.9}) {
          for (int cold : new int[] {1, 3}) {
            Fleet fleet = new Fleet(gateways, capacity, 0.75, warmth, cold, 1, 0);
            double worst = fleet.worstOverBound();
            assertTrue(
                worst <= 1,
                fleet + " reached " + worst + " of the bound in its worst overload window");
            // At full utilization, six requests in an overload window occur for N = 1.5, as the
            // probabilities above predict.
            Fleet full = new Fleet(gateways, capacity, 1, warmth, cold, 1, 0);
            assertTrue(
                full.worst()
                    < 0.9 * (full.allowedRequests() + 3 * Math.sqrt(full.allowedRequests()) + 3),
                full + " reached " + full.worst() + " requests in its worst overload window");
          }
        }
      }
    }
  }

  @Test
  void exceedsTheBoundWithABudgetFourTimesTooLarge() {
    for (int gateways : new int[] {5, 20, 30, 100}) {
      Fleet fleet = new Fleet(gateways, 10, 0.75, 0.18, 1, 4, 0);
      assertTrue(
          fleet.worstOverBound() > 1,
          fleet + " stayed at " + fleet.worstOverBound() + " of the bound");
    }
    assertTrue(
        new Fleet(100, 10, 1, 0.18, 1, 1, 10).worstOverBound() > 1,
        "a minimum budget per gateway exceeds the bound too");
  }

  @Test
  void countsAJumpOfDemandAtOnce() {
    Asked asked = traffic(new SplittableRandom(5), 2, 0);
    int before = 0;
    int after = 0;
    for (int i = 0; i < 1_000; i++) {
      before += asked.budget.admits(asked.now, "r" + i, false, false, true, 0, 20) ? 1 : 0;
    }
    for (int i = 0; i < 60; i++) {
      asked.budget.recordRequest(asked.now + i * SECOND / 60, false);
    }
    for (int i = 0; i < 1_000; i++) {
      after += asked.budget.admits(asked.now + SECOND, "r" + i, false, false, true, 0, 20) ? 1 : 0;
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
  void drawsTheSameForTheSameRequest() {
    Asked asked = traffic(new SplittableRandom(6), 10, 0);
    for (int i = 0; i < 100; i++) {
      boolean first = asked.budget.admits(asked.now, "r" + i, false, false, true, 0, 50);
      assertEquals(first, asked.budget.admits(asked.now, "r" + i, false, false, true, 0, 50));
    }
    assertFalse(
        asked.budget.admits(asked.now, "r", false, false, true, 0, 0),
        "a budget of 0 admits nothing");
  }
}
