package shelffront.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Tests that the last response leaves time before the platform kills the process. */
class ShutdownScheduleTest {

  private static final long START_MICROS = 1_800_000_000_000_000L;
  private static final long MAX_PAUSE_MICROS = 150_000;

  @Test
  void responsesAreDueBeforeTheKillThatFollowsTheLongestDeadline() {
    assertEquals(
        new ShutdownSchedule(START_MICROS + 500_000, START_MICROS + 3_300_000),
        ShutdownSchedule.beginningAt(START_MICROS, 3_000_000));
  }

  @Test
  void countsAtMostThreeSecondsOfTheLongestDeadline() {
    assertEquals(
        ShutdownSchedule.beginningAt(START_MICROS, 3_000_000),
        ShutdownSchedule.beginningAt(START_MICROS, 60_000_000));
  }

  /** Guards against a schedule that refuses connections that may still arrive. */
  @Test
  void answersRequestsWhileConnectionsArriveEvenIfDeadlinesAreShort() {
    assertEquals(
        new ShutdownSchedule(START_MICROS + 500_000, START_MICROS + 500_000),
        ShutdownSchedule.beginningAt(START_MICROS, 100_000));
  }

  /** A stop order noticed late and a pause before the last response must not reach the kill. */
  @Property(seed = "2026")
  void twoPausesFitBetweenTheLastResponseAndTheKill(
      @ForAll @LongRange(min = 200_000, max = 10_000_000) long longestDeadlineMicros) {
    long killMicros = START_MICROS + Math.min(longestDeadlineMicros, 3_000_000) + 700_000;
    ShutdownSchedule schedule =
        ShutdownSchedule.beginningAt(START_MICROS + MAX_PAUSE_MICROS, longestDeadlineMicros);
    assertTrue(schedule.answerByMicros() + MAX_PAUSE_MICROS <= killMicros);
  }
}
