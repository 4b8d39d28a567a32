package shelffront.quota;

/** Result of {@link ConnectionQuota#tryAcquire}. */
public enum Acquisition {
  /** The tenant holds one more connection. */
  ACQUIRED,
  /**
   * The tenant holds its maximum number of connections; or it holds its fair share and all lendable
   * connections are in use; or no other tenant exceeds its fair share.
   */
  REJECTED,
  /**
   * Other tenants hold part of the fair share of this tenant; it is notified when a connection is
   * released.
   */
  PENDING
}
