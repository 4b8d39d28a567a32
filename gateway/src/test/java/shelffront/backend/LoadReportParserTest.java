package shelffront.backend;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;

import org.junit.Test;
import shelffront.routing.LoadReport;
import shelffront.routing.Role;
import shelffront.routing.Router;

/** Guards against a position or role read from text that is not a valid load report. */
public class LoadReportParserTest {

  @Test
  public void readsPositionRoundedDownAndRole() {
    assertEquals(
        new LoadReport(1_767_225_600_123_456L, Role.REPLICA, -1, -1, -1),
        LoadReportParser.parse("x0=1767225600.1234569,x1=0,queue=3"));
    assertEquals(
        new LoadReport(Router.UNKNOWN, Role.PRIMARY, -1, -1, -1), LoadReportParser.parse("x1=1"));
  }

  @Test
  public void returnsNullForMalformedReport() {
    for (String text :
        new String[] {
          null,
          "",
          "x0",
          "x0=",
          "x0=NaN",
          "x0=1e300,x1=1",
          "x0=-5",
          "x0=1767225600,",
          "x0=1767225600.123,x1=1,qu\u00ff",
          "x0=1767225600123456,x1=1",
          "x0=1.2.3",
          "a".repeat(5000)
        }) {
      assertNull(text, LoadReportParser.parse(text));
    }
  }

  /**
   * The first health check of every host returns this in the fleet bench; reading it as a report
   * made primaries look like replicas.
   */
  @Test
  public void reportOfZerosStatesNeitherPositionNorRole() {
    for (String text : new String[] {"x0=0.000,x1=0,backlog=0", "x0=0,x1=1", "x0=0.0"}) {
      assertEquals(
          text,
          new LoadReport(Router.UNKNOWN, Role.UNKNOWN, -1, -1, -1),
          LoadReportParser.parse(text));
    }
    assertEquals(
        new LoadReport(1_000_000L, Role.REPLICA, -1, -1, -1), LoadReportParser.parse("x0=1,x1=0"));
    assertEquals(Router.UNKNOWN, LoadReportParser.parsePositionMicros("0"));
  }

  @Test
  public void parsesPositionsInWholeMilliseconds() {
    assertEquals(1_767_225_600_123_000L, LoadReportParser.parsePositionMicros("1767225600123"));
    for (String text : new String[] {null, "", "-1", "1.5", "99999999999999999999", "x"}) {
      assertEquals(Router.UNKNOWN, LoadReportParser.parsePositionMicros(text));
    }
  }
}
