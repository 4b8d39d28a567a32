package shelffront.decision;

import shelffront.routing.AttemptStatus;

/**
 * One forwarding of a request to an endpoint.
 *
 * <p>Invariant: {@link #status} is null exactly while the attempt is out, and is set once.
 */
final class Attempt {

  final PendingRequest request;
  final EndpointState endpoint;
  final int number;
  final long sentAtMicros;

  /** Position that the endpoint had to have applied to answer it. */
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

  boolean isOut() {
    return status == null;
  }

  /** Whether its endpoint has answered an attempt that was sent later. */
  boolean isOvertaken() {
    return sentAtMicros < endpoint.latestAnsweredSendMicros;
  }
}
