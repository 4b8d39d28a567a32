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

  private static DistributorSelector selector(String subscriber) {
    return new DistributorSelector(subscriber, "r1", "y", endpoints(), 0, new Random(1));
  }

  @Test
  void theOwnZoneIsPreferredThenTheRegionThenOthers() {
    List<DistributorEndpoint> order = selector("g").preferenceOrder();
    assertTrue(
        order.subList(0, 3).stream()
            .allMatch(endpoint -> endpoint.region().equals("r1") && endpoint.zone().equals("y")));
    assertTrue(
        order.subList(3, 6).stream()
            .allMatch(endpoint -> endpoint.region().equals("r1") && endpoint.zone().equals("x")));
    assertTrue(order.subList(6, 12).stream().allMatch(endpoint -> endpoint.region().equals("r2")));
  }

  /** The subscribers of a failed distributor must not all move to the same other one. */
  @Test
  void subscribersSpreadEvenlyAndSpreadOverTheRemainingDistributorsAfterAFailure() {
    Map<String, Integer> first = new HashMap<>();
    Map<String, Integer> second = new HashMap<>();
    for (int i = 0; i < 900; i++) {
      DistributorSelector selector = selector("g" + i);
      DistributorEndpoint chosen = selector.next(0).endpoint();
      first.merge(chosen.address(), 1, Integer::sum);
      if (chosen.address().equals("r1y0:1")) {
        selector.recordFailure(chosen, 0);
        second.merge(selector.next(0).endpoint().address(), 1, Integer::sum);
      }
    }
    first.values().forEach(count -> assertTrue(count > 240 && count < 360, first.toString()));
    assertEquals(2, second.size());
    second.values().forEach(count -> assertTrue(count > 100, second.toString()));
  }

  @Test
  void aFailedDistributorIsSkippedForADoublingBackoffAndPreferredAgainAfterwards() {
    DistributorSelector selector = selector("g");
    DistributorEndpoint preferred = selector.preferenceOrder().get(0);
    selector.recordFailure(preferred, 0);
    assertEquals(selector.preferenceOrder().get(1), selector.next(0).endpoint());
    assertFalse(selector.hasPreferredAlternative(selector.preferenceOrder().get(1), 0));
    assertTrue(
        selector.hasPreferredAlternative(
            selector.preferenceOrder().get(1), DistributorSelector.INITIAL_BACKOFF_MICROS));
    selector.recordFailure(preferred, SECOND);
    assertFalse(
        selector.hasPreferredAlternative(
            selector.preferenceOrder().get(1),
            SECOND + DistributorSelector.INITIAL_BACKOFF_MICROS));
    for (int i = 0; i < 10; i++) {
      selector.recordFailure(preferred, 2 * SECOND);
    }
    assertTrue(
        selector.hasPreferredAlternative(
            selector.preferenceOrder().get(1),
            2 * SECOND + DistributorSelector.MAX_BACKOFF_MICROS));
    selector.recordSuccess(preferred);
    assertEquals(preferred, selector.next(2 * SECOND).endpoint());
  }

  @Test
  void ifAllAreInBackoffTheOneWhoseBackoffEndsFirstIsSelected() {
    DistributorSelector selector = selector("g");
    selector.preferenceOrder().forEach(endpoint -> selector.recordFailure(endpoint, 0));
    selector.recordFailure(selector.preferenceOrder().get(0), 0);
    assertEquals(
        new DistributorSelector.Selection(
            selector.preferenceOrder().get(1), DistributorSelector.INITIAL_BACKOFF_MICROS),
        selector.next(0));
  }

  /**
   * The transit time of a response is unknown; a response may wait in the receive buffer of a
   * stopped process.
   */
  @Test
  void ageCountsFromTheRequestAndIncludesTheStatedAge() {
    Staleness staleness = new Staleness();
    assertEquals(Staleness.NEVER, staleness.maxAgeMicros(5 * SECOND));
    staleness.confirm(SECOND, 2 * SECOND);
    assertEquals(100 * SECOND, staleness.maxAgeMicros(99 * SECOND));
    staleness.confirm(98 * SECOND, Staleness.NEVER);
    assertEquals(100 * SECOND, staleness.maxAgeMicros(99 * SECOND));
    staleness.confirm(98 * SECOND, 0);
    staleness.confirm(98 * SECOND, 3 * SECOND);
    assertEquals(
        SECOND,
        staleness.maxAgeMicros(99 * SECOND),
        "an older confirmation does not increase the age");
  }

  @Test
  void absentNamesAreCachedUntilTheyExpireOrAreEvicted() {
    NegativeCache negativeCache = new NegativeCache(2, SECOND);
    negativeCache.add("a", 0);
    assertTrue(negativeCache.contains("a", SECOND - 1));
    assertFalse(negativeCache.contains("a", SECOND));
    negativeCache.add("a", 0);
    negativeCache.add("b", 0);
    negativeCache.add("c", 0);
    assertFalse(negativeCache.contains("a", 1), "the oldest entry was evicted");
    negativeCache.remove("b");
    assertFalse(negativeCache.contains("b", 1));
  }

  @Test
  void theStandardTimingsKeepTheDocumentedPropagationBounds() {
    assertTrue(DistributionTimings.STANDARD.propagationBoundMicros(1) <= 5 * SECOND);
    assertTrue(DistributionTimings.STANDARD.propagationBoundMicros(3) <= 14 * SECOND);
  }
}
