package shelffront.decision;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import shelffront.routing.Consistency;
import shelffront.routing.Request;
import shelffront.routing.RequestClass;

/** A request that still owes its final answer. */
final class PendingRequest {

  static final double LATE_WORTH = 0.5; // A class with less late is dropped at its aim.

  final Request request;
  final RequestClass type;
  final ReplicaSet group;
  final long arrival;
  final long deadline;
  final long token; // position that a session read must see
  final ArrayList<Attempt> attempts = new ArrayList<>(2);
  boolean open = true;
  LinkedHashSet<PendingRequest> queue; // where it is held, or null
  boolean missed; // a replica turned it away: the hold is over

  PendingRequest(Request request, RequestClass type, ReplicaSet group, long token, long now) {
    this.request = request;
    this.type = type;
    this.group = group;
    arrival = now;
    this.deadline = arrival + request.timeToDeadlineMicros();
    this.token = token;
  }

  /** Position that a replica must have to answer this now. */
  long need(long now) {
    return type.consistency() == Consistency.BOUNDED_STALENESS
        ? now - type.maxStalenessMicros()
        : token;
  }

  int outstanding() {
    return (int) attempts.stream().filter(a -> a.status == null).count();
  }

  /** First attempt that ran or may have run; null when it is known that none did. */
  Attempt mayHaveRun() {
    return attempts.stream()
        .filter(a -> a.status == null || !a.status.provesNotExecuted)
        .findFirst()
        .orElse(null);
  }

  boolean tried(EndpointState node) {
    return attempts.stream().anyMatch(a -> a.node == node);
  }

  /** After this time an answer is worth little or nothing. */
  long usefulUntil() {
    return type.lateValueFraction() < LATE_WORTH
        ? Math.min(deadline, arrival + type.latencyObjectiveMicros())
        : deadline;
  }
}
