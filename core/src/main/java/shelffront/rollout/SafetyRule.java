package shelffront.rollout;

/**
 * The rules that the safety of a rollout rests on. The model checker disables each and has to find
 * what then goes wrong; nothing else disables any.
 */
public enum SafetyRule {
  /** A stage is in force under a lease only. */
  LEASE,
  /** A lease runs from when its renewal was sent, not from when the answer came. */
  LEASE_FROM_SEND,
  /** Nobody takes up a state older than the one it has. */
  EPOCH,
  /** Only what was read after joining is taken up. */
  JOIN_FIRST,
  /** An advance waits for every member's acknowledgement. */
  ACKNOWLEDGED,
  /** It is given only once no operation is open under the epoch before. */
  QUIET,
  /** A revoked member counts as gone only once its lease has expired for certain. */
  LAPSE,
  /** Each leader counts that time from when it saw the member revoked itself. */
  OWN_LAPSE,
  /** That time allows for clocks that drift apart. */
  DRIFT,
  /** The state is read before the members. */
  STANDING_FIRST,
  /** Every write names the index that it replaces. */
  CHECK_AND_SET
}
