package shelffront.backend;

import shelffront.net.EventLoop.Deadline;
import shelffront.request.BackendAttempt;

/** What one host connection carries at a time: an attempt, or a probe where there is none. */
final class BackendCall {

  final String endpointId;
  final BackendHost host; // null where the list does not know the member
  final BackendAttempt attempt;
  final long startedAtMicros;
  Deadline connectDeadline;
  Deadline endDeadline;
  BackendConnection connection;
  boolean finished;

  BackendCall(String endpointId, BackendHost host, BackendAttempt attempt, long startedAt) {
    this.endpointId = endpointId;
    this.host = host;
    this.attempt = attempt;
    this.startedAtMicros = startedAt;
  }
}
