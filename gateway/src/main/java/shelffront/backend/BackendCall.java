package shelffront.backend;

import java.net.InetSocketAddress;
import shelffront.net.EventLoop.Deadline;
import shelffront.request.BackendAttempt;

/**
 * One call to a database host: an attempt, or a health check if {@link #attempt} is null. A call
 * waits for a connection, runs on one, and finishes exactly once. Owned by {@link
 * BackendConnections}.
 */
final class BackendCall {

  final String endpointId;

  /** Null if the endpoint list does not contain the endpoint. */
  final BackendHost host;

  final BackendAttempt attempt;
  final long startedAtMicros;
  private final InetSocketAddress address;
  Deadline connectDeadline;
  Deadline endDeadline;

  /** The connection that the call runs on; null while it waits for one. */
  BackendConnection connection;

  boolean finished;

  BackendCall(String endpointId, BackendHost host, BackendAttempt attempt, long startedAtMicros) {
    this.endpointId = endpointId;
    this.host = host;
    this.attempt = attempt;
    this.startedAtMicros = startedAtMicros;
    address = host == null ? null : host.address;
  }

  void cancelDeadlines() {
    endDeadline.cancel();
    if (connectDeadline != null) {
      connectDeadline.cancel();
    }
  }

  /**
   * Returns the response without what it reports, if its endpoint has another address by now, where
   * there may be another host.
   */
  BackendResponse atPresentAddress(BackendResponse response) {
    return host == null || host.address.equals(address)
        ? response
        : BackendResponse.of(response.status());
  }
}
