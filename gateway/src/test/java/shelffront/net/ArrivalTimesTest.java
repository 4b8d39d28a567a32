package shelffront.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

public class ArrivalTimesTest {

  private final ArrivalTimes times = new ArrivalTimes();

  @Test
  public void aByteHasTheTimeOfTheReadThatBroughtIt() {
    times.read(10, 1000);
    times.read(1, 2000);
    times.read(5, 3000);
    assertEquals(1000, times.readTime(1));
    assertEquals(1000, times.readTime(10));
    assertEquals(2000, times.readTime(11));
    assertEquals(3000, times.readTime(12));
    assertEquals(3000, times.readTime(16));
  }

  @Test
  public void offsetsGoOnWhenEverythingWasTaken() {
    times.read(10, 1000);
    times.allTaken();
    times.read(4, 2000);
    assertEquals(2000, times.readTime(14));
  }

  /**
   * However many reads are kept, none is taken for later than it was, and the newest has its own
   * time.
   */
  @Test
  public void mergedReadsAreNeverTakenForLater() {
    int reads = 10 * ArrivalTimes.MAX_READS + 7;
    for (int i = 1; i <= reads; i++) {
      times.read(1, i);
    }
    for (int offset = 1; offset <= reads; offset++) {
      assertTrue(times.readTime(offset) <= offset);
    }
    assertEquals(reads, times.readTime(reads));
  }
}
