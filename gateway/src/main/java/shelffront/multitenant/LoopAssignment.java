package shelffront.multitenant;

import shelffront.tenant.TenantSpec;

/** The assignment of a tenant to an event loop. Confined to the thread of the first loop. */
final class LoopAssignment {

  TenantSpec spec;
  int loopIndex;
  int clientConnections; // open connections handed over to that loop

  /** Time of the last check that found clients, or of the first check; 0 before any check. */
  long lastUsedAtMicros;

  LoopAssignment(TenantSpec spec, int loopIndex) {
    this.spec = spec;
    this.loopIndex = loopIndex;
  }
}
