package shelffront.decision;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import shelffront.consistency.ExecutedRequests.Execution;
import shelffront.routing.Consistency;
import shelffront.routing.Request;
import shelffront.routing.RequestClass;

/**
 * A request that awaits its final response, and its attempts.
 *
 * <p>Invariants: {@link #open} changes to false once, when the request gets its final response or
 * its client disconnects; {@link #queue} is null unless the request waits in that queue.
 */
final class PendingRequest {

  /**
   * A class that retains a smaller fraction of its value after the objective is not served late.
   */
  static final double MIN_LATE_VALUE_FRACTION = 0.5;

  final Request request;
  final RequestClass requestClass;
  final ReplicaSet replicaSet;
  final long arrivedAtMicros;
  final long deadlineMicros;

  /**
   * Position of the session's last write, which a session read must see; {@code UNKNOWN} if none.
   */
  final long sessionPositionMicros;

  /** The execution of the same request, by its id, before it came again; null if none is known. */
  final Execution earlierExecution;

  final ArrayList<Attempt> attempts = new ArrayList<>(2);
  boolean open = true;
  LinkedHashSet<PendingRequest> queue;

  /**
   * Whether a replica rejected the read as unsuitable, so that it may use the primary without a
   * wait.
   */
  boolean rejectedByReplica;

  PendingRequest(
      Request request,
      RequestClass requestClass,
      ReplicaSet replicaSet,
      long sessionPositionMicros,
      Execution earlierExecution,
      long nowMicros) {
    this.request = request;
    this.requestClass = requestClass;
    this.replicaSet = replicaSet;
    this.sessionPositionMicros = sessionPositionMicros;
    this.earlierExecution = earlierExecution;
    arrivedAtMicros = nowMicros;
    deadlineMicros = arrivedAtMicros + request.timeToDeadlineMicros();
  }

  /** Position that a replica must have applied to serve the request now. */
  long requiredPositionMicros(long nowMicros) {
    return requestClass.consistency() == Consistency.BOUNDED_STALENESS
        ? nowMicros - requestClass.maxStalenessMicros()
        : sessionPositionMicros;
  }

  boolean isQueued() {
    return queue != null;
  }

  boolean hasOutstandingAttempt() {
    return attempts.stream().anyMatch(Attempt::isOutstanding);
  }

  boolean isNewestAttempt(Attempt attempt) {
    return attempts.get(attempts.size() - 1) == attempt;
  }

  /**
   * Returns the first execution that may have taken place, or null if it is certain that there was
   * none.
   */
  Execution firstPossibleExecution() {
    return earlierExecution != null
        ? earlierExecution
        : attempts.stream()
            .filter(Attempt::mayHaveBeenExecuted)
            .findFirst()
            .map(Attempt::execution)
            .orElse(null);
  }

  /** Whether this attempt is the only one that may have been executed. */
  boolean isOnlyPossibleExecution(Attempt attempt) {
    return earlierExecution == null
        && attempts.stream().filter(Attempt::mayHaveBeenExecuted).allMatch(attempt::equals);
  }

  boolean wasSentTo(EndpointState endpoint) {
    return attempts.stream().anyMatch(attempt -> attempt.endpoint == endpoint);
  }

  boolean keepsValueWhenLate() {
    return requestClass.lateValueFraction() >= MIN_LATE_VALUE_FRACTION;
  }

  long objectiveAtMicros() {
    return arrivedAtMicros + requestClass.latencyObjectiveMicros();
  }

  /** Time after which a response has little or no value. */
  long usefulUntilMicros() {
    return keepsValueWhenLate() ? deadlineMicros : Math.min(deadlineMicros, objectiveAtMicros());
  }
}
