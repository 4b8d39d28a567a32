package shelffront.quota;

/** What came of asking a {@link ConnectionQuota} for a connection. */
public enum Acquisition {
  /** It holds one more. */
  ACQUIRED,
  /** It holds all that its own bound allows, or it has its part and what may be lent is used up. */
  REJECTED,
  /** Others hold what is its own; it is notified when one has been released. */
  PENDING
}
