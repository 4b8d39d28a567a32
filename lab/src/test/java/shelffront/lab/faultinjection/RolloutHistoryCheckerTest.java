package shelffront.lab.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Verifies that the history checker detects each kind of violation. */
class RolloutHistoryCheckerTest {

  private static String force(String who, long at, long epoch, int stage, long until) {
    return String.format(
        "{\"at\":%d,\"who\":\"%s\",\"what\":\"force\",\"subject\":\"s\",\"epoch\":%d,\"stage\":%d,"
            + "\"until\":%d}",
        at, who, epoch, stage, until);
  }

  private static String move(String who, long at, long epoch, int stage) {
    return String.format(
        "{\"at\":%d,\"who\":\"%s\",\"what\":\"move\",\"subject\":\"s\",\"epoch\":%d,\"stage\":%d}",
        at, who, epoch, stage);
  }

  private static List<String> violations(List<String> one, List<String> other) throws IOException {
    return RolloutHistoryChecker.of(List.of(one, other)).violations();
  }

  @Test
  void acceptsAdjacentStagesAndLapsedLeases() throws IOException {
    assertTrue(
        violations(
                List.of(force("a", 0, 1, 0, 100)),
                List.of(force("b", 50, 2, 1, 150), force("b", 100, 3, 2, 200)))
            .isEmpty());
  }

  @Test
  void rejectsStagesTwoApart() throws IOException {
    assertEquals(
        1,
        violations(
                List.of(force("a", 0, 1, 0, 101)),
                List.of(force("b", 50, 2, 1, 150), force("b", 100, 3, 2, 200)))
            .size());
  }

  @Test
  void countsStageOfKilledProcessUntilItsLeaseExpires() throws IOException {
    assertEquals(
        1,
        violations(
                List.of(force("a", 0, 1, 0, 500), "{\"at\":40,\"wh"),
                List.of(force("b", 400, 3, 2, 600)))
            .size());
  }

  @Test
  void rejectsTwoLeadersInOneEpochAndTwoStepsAtOnce() throws IOException {
    assertEquals(1, violations(List.of(move("a", 0, 2, 1)), List.of(move("b", 0, 2, 1))).size());
    assertEquals(1, violations(List.of(move("a", 0, 2, 1)), List.of(move("b", 0, 3, 3))).size());
  }

  @Test
  void rejectsTwoStagesInOneEpoch() throws IOException {
    assertEquals(
        1, violations(List.of(force("a", 0, 2, 1, 100)), List.of(force("b", 0, 2, 0, 100))).size());
  }
}
