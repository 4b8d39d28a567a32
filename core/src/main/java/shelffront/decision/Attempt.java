package shelffront.decision;

import shelffront.consistency.ExecutedRequests.Execution;
import shelffront.routing.AttemptStatus;

/**
 * One forwarding of a request to an endpoint.
 *
 * <p>Invariant: {@link #status} is null while the attempt is outstanding and is set once, by its
 * outcome.
 */
final class Attempt {

  final PendingRequest request;
  final EndpointState endpoint;
  final int number;
  final long sentAtMicros;

  /**
   * Position that the endpoint must have applied to serve the attempt; {@code UNKNOWN} if any
   * suffices.
   */
  final long requiredPositionMicros;

  AttemptStatus status;

  Attempt(PendingRequest request, EndpointState endpoint, long nowMicros) {
    this.request = request;
    this.endpoint = endpoint;
    number = request.attempts.size();
    sentAtMicros = nowMicros;
    requiredPositionMicros = request.requiredPositionMicros(nowMicros);
  }

  AttemptId id() {
    return new AttemptId(request.request.id(), number);
  }

  boolean isOutstanding() {
    return status == null;
  }

  boolean mayHaveBeenExecuted() {
    return isOutstanding() || !status.provesNotExecuted;
  }

  /** This attempt, as what may have executed its request. */
  Execution execution() {
    return new Execution(
        sentAtMicros,
        request.request.idempotencyKey(),
        request.request.replicaSet(),
        endpoint.listed.zone());
  }

  /** Whether the endpoint has already completed an attempt that was sent later. */
  boolean isOvertaken() {
    return sentAtMicros < endpoint.newestSuccessfulSendMicros;
  }
}
