package shelffront.backend;

import shelffront.net.EventLoop.Deadline;
import shelffront.request.BackendAttempt;

/** What one host connection carries at a time: an attempt, or a probe where there is none. */
final class BackendCall {

  final String member;
  final BackendHost host; // null where the list does not know the member
  final BackendAttempt attempt;
  final long startedAt;
  Deadline connectBy;
  Deadline endBy;
  BackendConnection on;
  boolean over;

  BackendCall(String member, BackendHost host, BackendAttempt attempt, long startedAt) {
    this.member = member;
    this.host = host;
    this.attempt = attempt;
    this.startedAt = startedAt;
  }
}
