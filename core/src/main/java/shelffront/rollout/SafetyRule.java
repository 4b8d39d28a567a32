package shelffront.rollout;

/**
 * What the mechanism rests on. The model checker switches each off and has to find what then goes
 * wrong.
 */
public enum SafetyRule {
  /** A stage is in force under a lease only. */
  LEASE,
  /** A lease runs from when its renewal was sent, not from when the answer came. */
  LEASE_FROM_SEND,
  /** Nobody takes up a standing older than the one it has. */
  EPOCH,
  /** Only what was read after joining is taken up. */
  JOIN_FIRST,
  /** A move waits for every member's acknowledgement. */
  ACKNOWLEDGED,
  /** It is given only once nothing acts under the epoch before. */
  QUIET,
  /** A revoked member counts as gone only after the lapse. */
  LAPSE,
  /** Each owner counts the lapse from when it saw the mark itself. */
  OWN_LAPSE,
  /** Clocks drift apart. */
  DRIFT,
  /** The standing is looked at before the members. */
  STANDING_FIRST,
  /** Every write names the index that it replaces. */
  CHECK_AND_SET
}
