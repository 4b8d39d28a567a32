package shelffront.tenant;

/** The stages of a running tenant's life, in which it only ever goes on or from active to rest. */
enum TenantState {
  /** Without clients: no connection, watch or timer. */
  SUSPENDED,
  ACTIVE,
  /** Taken out of service: what was admitted is finished, nothing else is admitted. */
  DRAINING,
  /** Nothing of it remains. */
  REMOVED;

  /** Whether its router acts: it has clients, or finishes what they asked for. */
  boolean isRunning() {
    return this == ACTIVE || this == DRAINING;
  }

  /** Whether it takes neither clients nor requests any more. */
  boolean isEnding() {
    return this == DRAINING || this == REMOVED;
  }
}
