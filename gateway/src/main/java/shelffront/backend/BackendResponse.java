package shelffront.backend;

import shelffront.routing.AttemptStatus;
import shelffront.routing.LoadReport;
import shelffront.routing.Role;
import shelffront.routing.Router;

/**
 * How an attempt or a probe ended, with what the host told of itself; the messages of an answer if
 * it is OK.
 */
public record BackendResponse(
    AttemptStatus status, Role role, long positionMicros, LoadReport loadReport, byte[] messages) {

  public static BackendResponse of(AttemptStatus status) {
    return new BackendResponse(status, Role.UNKNOWN, Router.UNKNOWN, null, null);
  }
}
