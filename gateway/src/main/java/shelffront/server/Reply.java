package shelffront.server;

import shelffront.route.Router;
import shelffront.route.Router.Load;
import shelffront.route.Router.Role;
import shelffront.route.Router.Status;

/**
 * How an attempt or a probe ended, with what the host told of itself; the messages of an answer if
 * it is OK.
 */
public record Reply(Status status, Role role, long position, Load load, byte[] messages) {

  public static Reply of(Status status) {
    return new Reply(status, Role.UNKNOWN, Router.UNKNOWN, null, null);
  }
}
