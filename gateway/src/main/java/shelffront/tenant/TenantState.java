package shelffront.tenant;

/**
 * Lifecycle states of a tenant. Transitions go forward only, except that an active tenant may
 * become suspended again.
 */
enum TenantState {
  /** No client is connected, and the tenant has no connection, watch or timer. */
  SUSPENDED,
  ACTIVE,
  /** Being removed: admitted requests are completed, and new requests are rejected. */
  DRAINING,
  /** No request is served any more, and all resources are released. */
  REMOVED;

  /** Whether the router may act: the tenant has clients, or completes their requests. */
  boolean isRunning() {
    return this == ACTIVE || this == DRAINING;
  }

  /** Whether new clients and requests are rejected because the tenant is removed. */
  boolean isEnding() {
    return this == DRAINING || this == REMOVED;
  }
}
