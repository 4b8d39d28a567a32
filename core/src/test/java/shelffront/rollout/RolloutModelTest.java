package shelffront.rollout;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks every order of events of a small fleet up to a depth, and that disabling any one safety
 * rule leads to a violation. The system property {@code stage.deeper} adds to the depths; with 2
 * the check covers 5.4 million states and takes about a minute on eight cores.
 */
class RolloutModelTest {

  @ParameterizedTest(name = "{0} gateways, {1} leaders, {2} faults, joined {4}, depth {5}")
  @CsvSource({
    "1, 1, 1, 1, true, 11",
    "1, 1, 2, 1, true, 9",
    "1, 2, 1, 1, true, 8",
    "2, 1, 1, 1, true, 7",
    "2, 2, 1, 1, false, 6"
  })
  void atMostTwoAdjacentStagesAreInForceInEveryOrderOfEvents(
      int gateways, int leaders, int faults, int reversals, boolean joined, int depth) {
    RolloutModel.Result result =
        new RolloutModel(gateways, leaders, faults, reversals)
            .explore(joined, depth + Integer.getInteger("stage.deeper", 0));
    System.out.println(
        gateways
            + " gateways, "
            + leaders
            + " leaders: "
            + result.states()
            + " states to depth "
            + result.depth());
    assertNull(result.trace(), () -> String.join("\n", result.trace()));
  }

  /**
   * The counter-example is a shortest one, so its length is the depth that an exploration needs to
   * detect the missing rule.
   */
  @ParameterizedTest
  @CsvSource({
    "LEASE, 1, 0, true",
    "LEASE_FROM_SEND, 1, 1, true",
    "EPOCH_NEVER_DECREASES, 1, 1, true",
    "JOIN_BEFORE_READ, 1, 0, false",
    "ALL_MEMBERS_ACKNOWLEDGED, 1, 0, true",
    "NO_OLDER_OPERATION, 1, 0, true",
    "REVOKED_LEASE_EXPIRY, 1, 0, true",
    "OWN_OBSERVATION, 2, 0, true",
    "CLOCK_DRIFT, 1, 0, true",
    "STATE_BEFORE_MEMBERS, 2, 1, false",
    "CHECK_AND_SET, 1, 0, true"
  })
  void everyDisabledRuleLeadsToAViolation(
      SafetyRule rule, int leaders, int faults, boolean joined) {
    RolloutModel.Result result = new RolloutModel(1, leaders, faults, 0, rule).explore(joined, 13);
    System.out.println(rule + ": " + result.states() + " states, " + result.depth() + " steps");
    assertNotNull(result.trace(), "no violation found with the rule " + rule + " disabled");
    assertNull(
        new RolloutModel(1, leaders, faults, 0)
            .explore(joined, Math.min(9, result.depth()))
            .trace());
  }
}
