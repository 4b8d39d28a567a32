package shelffront.rollout;

/**
 * The rules that the safety of a rollout depends on. The model checker disables one at a time and
 * must find a violation; production code disables none.
 */
public enum SafetyRule {
  /** A stage is in force only under a valid lease. */
  LEASE,
  /** A lease starts when its renewal was sent, not when the response arrived. */
  LEASE_FROM_SEND,
  /** A gateway never replaces its state with one of a lower epoch. */
  EPOCH_NEVER_DECREASES,
  /** A gateway adopts only states that were read after it joined. */
  JOIN_BEFORE_READ,
  /** An advance waits for the acknowledgement of every member. */
  ALL_MEMBERS_ACKNOWLEDGED,
  /** A gateway acknowledges an epoch only once no operation is open under an older one. */
  NO_OLDER_OPERATION,
  /** A revoked member blocks advances until its lease must have expired. */
  REVOKED_LEASE_EXPIRY,
  /** Each leader counts that time from its own first observation of the revocation. */
  OWN_OBSERVATION,
  /** That time allows for the maximum clock drift. */
  CLOCK_DRIFT,
  /** A leader reads the state before the members. */
  STATE_BEFORE_MEMBERS,
  /** Every write is a check-and-set on the index that it replaces. */
  CHECK_AND_SET
}
