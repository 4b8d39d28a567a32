package shelffront.backend;

import shelffront.net.EventLoop.Deadline;
import shelffront.request.BackendAttempt;

/**
 * One call to a database host: an attempt, or a health check where {@link #attempt} is null. It
 * waits for a connection, is carried by one, and finishes exactly once. Owned by {@link
 * BackendConnections}.
 */
final class BackendCall {

  final String endpointId;

  /** Null where the list does not know the endpoint. */
  final BackendHost host;

  final BackendAttempt attempt;
  final long startedAtMicros;
  Deadline connectDeadline;
  Deadline endDeadline;

  /** The connection that carries it; null while it waits. */
  BackendConnection connection;

  boolean finished;

  BackendCall(String endpointId, BackendHost host, BackendAttempt attempt, long startedAtMicros) {
    this.endpointId = endpointId;
    this.host = host;
    this.attempt = attempt;
    this.startedAtMicros = startedAtMicros;
  }
}
