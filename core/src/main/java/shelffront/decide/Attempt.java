package shelffront.decide;

import shelffront.route.Router.Status;

/** One try of a request at a member. */
final class Attempt {

  final Pending request;
  final Node node;
  final int number;
  final long sentAt;
  final long need; // position that the answer had to have
  Status status; // null while it is out

  Attempt(Pending request, Node node, long now) {
    this.request = request;
    sentAt = now;
    need = request.need(now);
    this.node = node;
    number = request.attempts.size();
  }

  /** Whether its member has answered what was sent to it later. */
  boolean overtaken() {
    return sentAt < node.servedTo;
  }
}
