package shelffront.decision;

import shelffront.fleet.SlowStartBudget;
import shelffront.routing.Consistency;
import shelffront.routing.DeduplicationScope;
import shelffront.routing.LagCheck;

/**
 * The rules that every attempt is held against, whatever chose its member; cold members among them.
 */
record AttemptAdmission(RoutingState state) {

  /** Counts anew what a warm member gets. */
  void recount() {
    state.usualSends =
        state.nodes.values().stream()
            .filter(n -> n.open && warmth(n) >= 1 && state.now >= n.bannedUntil)
            .mapToDouble(n -> n.sends.count(state.now) / n.size())
            .average()
            .orElse(state.usualSends);
  }

  /** Share of its capacity that a member has at least, by the time since it started. */
  double warmth(EndpointState n) {
    return n.entry.startedAtMicros() <= 0
        ? 1
        : SlowStartBudget.capacityFraction(
            state.now - n.entry.startedAtMicros(),
            state.settings.safetyRules().slowStartInitialCapacity(),
            state.settings.safetyRules().slowStartDurationMicros());
  }

  /**
   * Cold members keep to the budget of {@link SlowStartBudget}; no request tries one twice: in
   * search of a primary, tries that are turned away are work for it too.
   */
  boolean withinColdBudget(PendingRequest p, EndpointState n) {
    if (warmth(n) >= 1 || p.tried(n)) {
      return warmth(n) >= 1;
    }
    EndpointState first = n.group.primary; // its arc comes last
    double before =
        n.group.nodes.values().stream()
            .filter(
                e ->
                    e.open
                        && e != first
                        && warmth(e) < 1
                        && (n == first || e.id.compareTo(n.id) < 0))
            .mapToDouble(this::budget)
            .sum();
    return n.group.cold.admits(
        state.now,
        p.request.id(),
        p.type.requiresPrimary(),
        n == first,
        first != null,
        before,
        budget(n));
  }

  private double budget(EndpointState n) {
    return n.group.cold.budget(
        state.now,
        warmth(n),
        state.settings.safetyRules().overloadFactor(),
        state.usualSends * n.size() + 1.0 / n.group.nodes.size(),
        n == n.group.primary);
  }

  boolean allows(PendingRequest p, EndpointState n) {
    Attempt ran = p.mayHaveRun();
    return p.open
        && state.now < p.deadline
        && p.attempts.size() < state.settings.limits().maxAttempts()
        && n.open
        && n.entry.replicaSet() == p.request.replicaSet()
        && mayTryAgain(p)
        && (ran == null
            || !p.type.isDeduplicatedWithin(DeduplicationScope.ZONE)
            || ran.node.entry.zone().equals(n.entry.zone()))
        && (p.outstanding() == 0
            || p.type.isIdempotent() && state.settings.limits().hedgingAllowed())
        && withinColdBudget(p, n)
        && freshEnough(p, n);
  }

  /** Whether earlier attempts leave the class free to try again. */
  boolean mayTryAgain(PendingRequest p) {
    Attempt ran = p.mayHaveRun();
    return ran == null
        || switch (p.type.idempotency()) {
          case IDEMPOTENT -> true;
          case IDEMPOTENCY_KEY ->
              state.now + state.settings.tickMicros()
                  < ran.sentAt + p.type.deduplicationWindowMicros();
          case NON_IDEMPOTENT -> false;
        };
  }

  /** Stale reads: only the primary, or a member that has the position or refuses for itself. */
  boolean freshEnough(PendingRequest p, EndpointState n) {
    if (n == p.group.primary || p.type.consistency() == Consistency.EVENTUAL || p.type.isWrite()) {
      return true;
    }
    return p.type.consistency() != Consistency.STRONG
        && (state.settings.consistency().lagCheck() != LagCheck.NONE
            || n.progress.hasApplied(p.need(state.now)));
  }
}
