package shelffront.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class EventLoopPlacementTest {

  private static final long SECOND = 1_000_000;

  private final EventLoopPlacement placement = new EventLoopPlacement(3, 0);

  @Test
  void spreadsNewTenantsByWeight() {
    assertEquals(0, placement.placeNew(4));
    assertEquals(1, placement.placeNew(1));
    assertEquals(2, placement.placeNew(1));
    assertEquals(1, placement.placeNew(1));
    placement.remove(0, 4);
    assertEquals(0, placement.placeNew(1));
  }

  @Test
  void resumedTenantLeavesAMuchBusierLoop() {
    placement.recordBusyTime(new long[] {900_000, 100_000, 300_000}, SECOND);
    assertEquals(1, placement.placeResumed(0, 1));
  }

  @Test
  void resumedTenantStaysIfTheDifferenceIsSmall() {
    placement.recordBusyTime(new long[] {300_000, 100_000, 200_000}, SECOND);
    assertEquals(0, placement.placeResumed(0, 1));
  }

  /**
   * A hundred tenants that resume at the same time are not all placed on the loop that was least
   * loaded before.
   */
  @Test
  void spreadsTenantsThatResumeTogether() {
    placement.recordBusyTime(new long[] {SECOND, 0, 0}, SECOND);
    int[] sent = new int[3];
    for (int i = 0; i < 100; i++) {
      sent[placement.placeResumed(0, 1)]++;
    }
    assertEquals(
        true,
        sent[1] > 25 && sent[2] > 25 && sent[0] > 10,
        sent[0] + " " + sent[1] + " " + sent[2]);
  }

  @Test
  void expectedLoadDecays() {
    for (int i = 0; i < 20; i++) {
      placement.placeResumed(0, 1);
    }
    placement.recordBusyTime(new long[3], 10 * SECOND);
    assertEquals(0, placement.placeResumed(0, 1));
  }

  /** A repeated timestamp and a decreasing busy time do not distort the load. */
  @Test
  void toleratesRepeatedTimestampsAndDecreasingBusyTime() {
    placement.recordBusyTime(new long[] {500_000, 0, 0}, SECOND);
    placement.recordBusyTime(new long[] {0, 0, 0}, SECOND);
    placement.recordBusyTime(new long[] {0, 0, 0}, 2 * SECOND);
    assertEquals(0, placement.placeResumed(0, 1));
  }
}
