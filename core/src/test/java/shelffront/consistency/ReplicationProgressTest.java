package shelffront.consistency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the known and the assumed position of a replica on both sides of each boundary. */
class ReplicationProgressTest {

  private static final long MS = 1000;
  private static final long NOW = 1_000_000_000;

  private final ReplicationProgress progress = new ReplicationProgress();

  @BeforeEach
  void reportLagOfHundredMillis() {
    progress.advance(NOW, NOW - 100 * MS);
  }

  @Test
  void knowsNothingBeforeTheFirstReport() {
    assertFalse(new ReplicationProgress().hasApplied(0));
    assertFalse(new ReplicationProgress().mayHaveApplied(NOW, 0, 0));
  }

  @Test
  void movesPositionForwardOnlyAndNotAheadOfTheClock() {
    progress.advance(NOW, NOW - 200 * MS);
    assertTrue(progress.hasApplied(NOW - 100 * MS));
    progress.advance(NOW + MS, NOW + 2 * MS);
    assertFalse(progress.hasApplied(NOW - 100 * MS + 1));
  }

  @Test
  void trustsAReplicaToKeepItsPace() {
    assertTrue(progress.mayHaveApplied(NOW + 300 * MS, NOW + 200 * MS, 0));
    assertFalse(progress.mayHaveApplied(NOW + 300 * MS, NOW + 200 * MS + 1, 0));
    assertTrue(
        progress.mayHaveApplied(NOW + 300 * MS, NOW + 250 * MS, 50 * MS),
        "a replica that waits may lag by another 50 ms");
    assertFalse(
        progress.mayHaveApplied(NOW + 21_000 * MS, NOW + 1_000 * MS, 0),
        "a report is extrapolated for 20 s at most");
    assertFalse(progress.hasApplied(NOW - 50 * MS), "an assumed position is not a known one");
  }

  @Test
  void distrustsAfterARejectedReadUntilTheNextReport() {
    progress.recordRejectedRead(NOW + MS);
    assertFalse(progress.mayHaveApplied(NOW + 100 * MS, NOW, 0));
    assertTrue(progress.mayHaveApplied(NOW + 202 * MS, NOW, 0));
    progress.recordRejectedRead(NOW + 210 * MS);
    progress.advance(NOW + 220 * MS, NOW + 190 * MS);
    assertTrue(progress.mayHaveApplied(NOW + 230 * MS, NOW + 200 * MS, 0));
  }

  @Test
  void takesAnAnswerAsProofOfItsPosition() {
    progress.recordProvenPosition(NOW + 500 * MS, NOW + 300 * MS);
    assertTrue(progress.hasApplied(NOW + 300 * MS));
    assertEquals(
        NOW + 400 * MS,
        progress.lastReportedAtMicros(),
        "with a lag of 100 ms it reached the position then");
    progress.recordProvenPosition(NOW + 600 * MS, NOW + 200 * MS);
    assertEquals(
        NOW + 400 * MS,
        progress.lastReportedAtMicros(),
        "a lower required position proves nothing new");
    ReplicationProgress first = new ReplicationProgress();
    first.recordProvenPosition(NOW, NOW - 500 * MS);
    assertTrue(first.hasApplied(NOW - 500 * MS));
  }

  /**
   * Guards against repeated health checks of a replica that starts from an old copy: every gateway
   * checked it every 100 ms for seconds.
   */
  @Test
  void checksLaterTheFurtherBehindAReplicaIs() {
    assertEquals(100 * MS, new ReplicationProgress().healthCheckIntervalMicros());
    assertEquals(100 * MS, progress.healthCheckIntervalMicros());
    ReplicationProgress old = new ReplicationProgress();
    old.advance(NOW, NOW - 8_000 * MS);
    assertEquals(2_000 * MS, old.healthCheckIntervalMicros());
  }
}
