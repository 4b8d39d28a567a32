package shelffront.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

public class ArrivalTimesTest {

  private final ArrivalTimes times = new ArrivalTimes();

  @Test
  public void byteHasTimeOfReadThatContainsIt() {
    times.recordRead(10, 1000);
    times.recordRead(1, 2000);
    times.recordRead(5, 3000);
    assertEquals(1000, times.readTimeMicros(1));
    assertEquals(1000, times.readTimeMicros(10));
    assertEquals(2000, times.readTimeMicros(11));
    assertEquals(3000, times.readTimeMicros(12));
    assertEquals(3000, times.readTimeMicros(16));
  }

  @Test
  public void offsetsContinueAfterAllBytesAreConsumed() {
    times.recordRead(10, 1000);
    times.clear();
    times.recordRead(4, 2000);
    assertEquals(2000, times.readTimeMicros(14));
  }

  /**
   * Merging must never report a later time than that of the read, and the newest read keeps its own
   * time.
   */
  @Test
  public void mergedReadsNeverReportLaterTime() {
    int reads = 10 * ArrivalTimes.MAX_READS + 7;
    for (int i = 1; i <= reads; i++) {
      times.recordRead(1, i);
    }
    for (int offset = 1; offset <= reads; offset++) {
      assertTrue(times.readTimeMicros(offset) <= offset);
    }
    assertEquals(reads, times.readTimeMicros(reads));
  }
}
