package shelffront.backend;

import shelffront.routing.AttemptStatus;
import shelffront.routing.LoadReport;
import shelffront.routing.Role;
import shelffront.routing.Router;

/**
 * The outcome of an attempt or health check.
 *
 * @param role role that the host reported, or {@link Role#UNKNOWN}
 * @param positionMicros position that the host reported, in Unix microseconds, or {@link
 *     Router#UNKNOWN}
 * @param loadReport the host's load report; null if it sent none that can be parsed
 * @param messages the response messages for the client; null unless the status is OK
 */
public record BackendResponse(
    AttemptStatus status, Role role, long positionMicros, LoadReport loadReport, byte[] messages) {

  public static BackendResponse of(AttemptStatus status) {
    return new BackendResponse(status, Role.UNKNOWN, Router.UNKNOWN, null, null);
  }
}
