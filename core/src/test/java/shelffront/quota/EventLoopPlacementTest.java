package shelffront.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class EventLoopPlacementTest {

  private static final long SECOND = 1_000_000;

  private final EventLoopPlacement placement = new EventLoopPlacement(3, 0);

  @Test
  void newTenantsAreSpreadByWeight() {
    assertEquals(0, placement.home(4));
    assertEquals(1, placement.home(1));
    assertEquals(2, placement.home(1));
    assertEquals(1, placement.home(1));
    placement.left(0, 4);
    assertEquals(0, placement.home(1));
  }

  @Test
  void oneThatWakesLeavesALoopThatWorksMuchMore() {
    placement.seen(new long[] {900_000, 100_000, 300_000}, SECOND);
    assertEquals(1, placement.woken(0, 1));
  }

  @Test
  void oneThatWakesStaysWhereTheDifferenceIsSmall() {
    placement.seen(new long[] {300_000, 100_000, 200_000}, SECOND);
    assertEquals(0, placement.woken(0, 1));
  }

  /**
   * A hundred that wake in one moment are not all sent to the loop that was the least loaded
   * before.
   */
  @Test
  void thoseThatWakeTogetherAreSpread() {
    placement.seen(new long[] {SECOND, 0, 0}, SECOND);
    int[] sent = new int[3];
    for (int i = 0; i < 100; i++) {
      sent[placement.woken(0, 1)]++;
    }
    assertEquals(
        true,
        sent[1] > 25 && sent[2] > 25 && sent[0] > 10,
        sent[0] + " " + sent[1] + " " + sent[2]);
  }

  @Test
  void whatWasExpectedFades() {
    for (int i = 0; i < 20; i++) {
      placement.woken(0, 1);
    }
    placement.seen(new long[3], 10 * SECOND);
    assertEquals(0, placement.woken(0, 1));
  }

  /** A clock that stands still, and a count that seems to go back, change nothing for the worse. */
  @Test
  void oddFiguresAreTakenCalmly() {
    placement.seen(new long[] {500_000, 0, 0}, SECOND);
    placement.seen(new long[] {0, 0, 0}, SECOND);
    placement.seen(new long[] {0, 0, 0}, 2 * SECOND);
    assertEquals(0, placement.woken(0, 1));
  }
}
