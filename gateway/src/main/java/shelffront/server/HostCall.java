package shelffront.server;

import shelffront.exchange.Attempt;
import shelffront.net.EventLoop.Deadline;

/** What one host connection carries at a time: an attempt, or a probe where there is none. */
final class HostCall {

  final String member;
  final Host host; // null where the list does not know the member
  final Attempt attempt;
  final long startedAt;
  Deadline connectBy;
  Deadline endBy;
  HostConnection on;
  boolean over;

  HostCall(String member, Host host, Attempt attempt, long startedAt) {
    this.member = member;
    this.host = host;
    this.attempt = attempt;
    this.startedAt = startedAt;
  }
}
