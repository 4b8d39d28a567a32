package shelffront.routing;

import static shelffront.routing.Router.UNKNOWN;

/**
 * What one message proves about the role of its host, and as of when.
 *
 * <p>A message does not say when it was written, and it may have been under way for long. It proves
 * that its host had the role at some time from {@code earliestMicros} to {@code latestMicros}, and
 * that a proof of another role refers to a later time if it refers to one after {@code
 * latestMicros}.
 *
 * @param role role that the host had; {@code UNKNOWN} if the message proves none
 * @param earliestMicros earliest time to which the message can refer, or {@code UNKNOWN}
 * @param latestMicros latest time to which the message can refer
 */
public record RoleReport(Role role, long earliestMicros, long latestMicros) {

  /** Amount by which positions may have been rounded. */
  private static final long POSITION_RESOLUTION_MICROS = 1000;

  /**
   * The report of a response to an attempt, which was written after the attempt was sent and before
   * it arrived. The position of a primary is the present, which may be later than the sending. A
   * response proves a role even if it does not state it: only a primary executes a write, and only
   * a replica is unsuitable.
   *
   * @param write whether the attempt was one of a write
   * @param sentAtMicros time at which the attempt was sent, or {@code UNKNOWN}
   */
  public static RoleReport ofResponse(
      AttemptOutcome outcome, boolean write, long sentAtMicros, long nowMicros) {
    Role role = outcome.role() != Role.UNKNOWN ? outcome.role() : shownBy(outcome.status(), write);
    long leastPositionMicros = outcome.positionMicros() - POSITION_RESOLUTION_MICROS;
    boolean positionIsPresent = role == Role.PRIMARY && leastPositionMicros <= nowMicros;
    long earliestMicros =
        positionIsPresent ? Math.max(sentAtMicros, leastPositionMicros) : sentAtMicros;
    return new RoleReport(role, earliestMicros, nowMicros);
  }

  private static Role shownBy(AttemptStatus status, boolean write) {
    if (status == AttemptStatus.REPLICA_UNSUITABLE) {
      return Role.REPLICA;
    }
    return write && status == AttemptStatus.OK ? Role.PRIMARY : Role.UNKNOWN;
  }

  /**
   * The report in a load report, which may have been written before it was asked for, but not
   * before its position. Positions never decrease, and the position of a primary is the present, so
   * a host that was primary after the position in its load report was so after it wrote that.
   *
   * <p>A load report without a position proves no role, because a host that has not made one yet
   * responds with zeros. Neither does one whose position is ahead of the clock, if its host is a
   * primary, because its age is not known.
   *
   * @param loadReport the load report, or null
   */
  public static RoleReport ofLoadReport(LoadReport loadReport, long nowMicros) {
    if (loadReport == null || loadReport.positionMicros() == UNKNOWN) {
      return new RoleReport(Role.UNKNOWN, UNKNOWN, nowMicros);
    }
    long positionMicros = loadReport.positionMicros();
    if (loadReport.role() == Role.PRIMARY) {
      Role role = positionMicros <= nowMicros ? Role.PRIMARY : Role.UNKNOWN;
      return new RoleReport(role, positionMicros, nowMicros);
    }
    long latestMicros = Math.min(nowMicros, positionMicros + POSITION_RESOLUTION_MICROS);
    return new RoleReport(loadReport.role(), UNKNOWN, latestMicros);
  }
}
