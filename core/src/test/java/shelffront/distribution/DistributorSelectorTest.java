package shelffront.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class DistributorSelectorTest {

  private static final long SECOND = 1_000_000;

  private static List<DistributorEndpoint> endpoints() {
    List<DistributorEndpoint> all = new ArrayList<>();
    for (String region : List.of("r1", "r2")) {
      for (String zone : List.of("x", "y")) {
        for (int i = 0; i < 3; i++) {
          all.add(new DistributorEndpoint(region + zone + i + ":1", region, zone));
        }
      }
    }
    return all;
  }

  private static DistributorSelector choice(String subscriber) {
    return new DistributorSelector(subscriber, "r1", "y", endpoints(), 0, new Random(1));
  }

  @Test
  void theOwnZoneComesFirstThenTheRegionThenAny() {
    List<DistributorEndpoint> order = choice("g").preferenceOrder();
    assertTrue(
        order.subList(0, 3).stream()
            .allMatch(endpoint -> endpoint.region().equals("r1") && endpoint.zone().equals("y")));
    assertTrue(
        order.subList(3, 6).stream()
            .allMatch(endpoint -> endpoint.region().equals("r1") && endpoint.zone().equals("x")));
    assertTrue(order.subList(6, 12).stream().allMatch(endpoint -> endpoint.region().equals("r2")));
  }

  /** Those of one that fails must not all go to one other. */
  @Test
  void subscribersSpreadOverDistributorsAndOverThoseLeftWhenOneFails() {
    Map<String, Integer> first = new HashMap<>();
    Map<String, Integer> second = new HashMap<>();
    for (int i = 0; i < 900; i++) {
      DistributorSelector choice = choice("g" + i);
      DistributorEndpoint chosen = choice.next(0).endpoint();
      first.merge(chosen.address(), 1, Integer::sum);
      if (chosen.address().equals("r1y0:1")) {
        choice.recordFailure(chosen, 0);
        second.merge(choice.next(0).endpoint().address(), 1, Integer::sum);
      }
    }
    first.values().forEach(count -> assertTrue(count > 240 && count < 360, first.toString()));
    assertEquals(2, second.size());
    second.values().forEach(count -> assertTrue(count > 100, second.toString()));
  }

  @Test
  void oneThatFailedIsLeftOutForAPauseThatDoublesAndIsPreferredAgainAfterwards() {
    DistributorSelector choice = choice("g");
    DistributorEndpoint preferred = choice.preferenceOrder().get(0);
    choice.recordFailure(preferred, 0);
    assertEquals(choice.preferenceOrder().get(1), choice.next(0).endpoint());
    assertFalse(choice.hasPreferredAlternative(choice.preferenceOrder().get(1), 0));
    assertTrue(
        choice.hasPreferredAlternative(
            choice.preferenceOrder().get(1), DistributorSelector.INITIAL_BACKOFF_MICROS));
    choice.recordFailure(preferred, SECOND);
    assertFalse(
        choice.hasPreferredAlternative(
            choice.preferenceOrder().get(1), SECOND + DistributorSelector.INITIAL_BACKOFF_MICROS));
    for (int i = 0; i < 10; i++) {
      choice.recordFailure(preferred, 2 * SECOND);
    }
    assertTrue(
        choice.hasPreferredAlternative(
            choice.preferenceOrder().get(1), 2 * SECOND + DistributorSelector.MAX_BACKOFF_MICROS));
    choice.recordSuccess(preferred);
    assertEquals(preferred, choice.next(2 * SECOND).endpoint());
  }

  @Test
  void whereAllAreLeftOutTheSoonestIsAskedWhenItsPauseIsOver() {
    DistributorSelector choice = choice("g");
    choice.preferenceOrder().forEach(endpoint -> choice.recordFailure(endpoint, 0));
    choice.recordFailure(choice.preferenceOrder().get(0), 0);
    assertEquals(
        new DistributorSelector.Selection(
            choice.preferenceOrder().get(1), DistributorSelector.INITIAL_BACKOFF_MICROS),
        choice.next(0));
  }

  /**
   * An answer that lay in the buffer of a stopped process says nothing of the time it lay there.
   */
  @Test
  void ageCountsFromTheQuestionAndAddsWhatTheAnswerStates() {
    Staleness freshness = new Staleness();
    assertEquals(Staleness.NEVER, freshness.maxAgeMicros(5 * SECOND));
    freshness.confirm(SECOND, 2 * SECOND);
    assertEquals(100 * SECOND, freshness.maxAgeMicros(99 * SECOND));
    freshness.confirm(98 * SECOND, Staleness.NEVER);
    assertEquals(100 * SECOND, freshness.maxAgeMicros(99 * SECOND));
    freshness.confirm(98 * SECOND, 0);
    freshness.confirm(98 * SECOND, 3 * SECOND);
    assertEquals(
        SECOND, freshness.maxAgeMicros(99 * SECOND), "an older confirmation takes nothing back");
  }

  @Test
  void absentNamesAreRememberedForAWhileAndBounded() {
    NegativeCache absent = new NegativeCache(2, SECOND);
    absent.add("a", 0);
    assertTrue(absent.contains("a", SECOND - 1));
    assertFalse(absent.contains("a", SECOND));
    absent.add("a", 0);
    absent.add("b", 0);
    absent.add("c", 0);
    assertFalse(absent.contains("a", 1), "the one remembered for longest went");
    absent.remove("b");
    assertFalse(absent.contains("b", 1));
  }

  @Test
  void theBoundsOfTheOperatorsAreSumsOfTheStandardTimings() {
    assertTrue(DistributionTimings.STANDARD.propagationBoundMicros(1) <= 5 * SECOND);
    assertTrue(DistributionTimings.STANDARD.propagationBoundMicros(3) <= 14 * SECOND);
  }
}
