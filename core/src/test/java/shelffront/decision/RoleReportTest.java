package shelffront.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.LoadReport;
import shelffront.routing.Role;
import shelffront.routing.RoleReport;
import shelffront.routing.Router;

/** Tests what load reports prove whose position is missing or ahead of the clock. */
class RoleReportTest {

  private static final long NOW_MICROS = 50_000_000;

  private static RoleReport of(Role role, long positionMicros) {
    return RoleReport.ofLoadReport(new LoadReport(positionMicros, role, -1, -1, -1), NOW_MICROS);
  }

  /** Guards against a proof of unknown age, and against a time that no response can reach. */
  @Test
  void takesNoTimeFromPositionAheadOfTheClock() {
    assertEquals(Role.UNKNOWN, of(Role.PRIMARY, NOW_MICROS + 1).role());
    assertEquals(Role.PRIMARY, of(Role.PRIMARY, NOW_MICROS).role());
    assertEquals(NOW_MICROS, of(Role.REPLICA, 2 * NOW_MICROS).latestMicros());
  }

  /** Guards against a response that seems to be written later than it arrived. */
  @Test
  void takesNoTimeFromResponseWithPositionAheadOfTheClock() {
    AttemptOutcome outcome =
        new AttemptOutcome(
            "a", 0, "m1", AttemptStatus.OK, true, 1, Role.PRIMARY, 2 * NOW_MICROS, null);
    assertEquals(
        NOW_MICROS - 1,
        RoleReport.ofResponse(outcome, true, NOW_MICROS - 1, NOW_MICROS).earliestMicros());
  }

  @Test
  void takesNoRoleFromLoadReportWithoutPosition() {
    assertEquals(Role.UNKNOWN, of(Role.REPLICA, Router.UNKNOWN).role());
    assertEquals(Role.UNKNOWN, RoleReport.ofLoadReport(null, NOW_MICROS).role());
  }
}
