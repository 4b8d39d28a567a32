package shelffront.frontend;

import java.util.List;
import shelffront.net.Network;
import shelffront.pg.ProtocolException;
import shelffront.request.ClientRequest;
import shelffront.routing.RequestClass;

/**
 * Handles the requests of a tenant's clients. Each request gets exactly one response through its
 * {@link ClientRequest.ResponseListener} unless the client disconnects. Called on the tenant's
 * event loop.
 */
public interface RequestHandler {

  /** The event loop, memory budget and counters that the tenant's client connections use. */
  Network network();

  /** The request classes that a request may name. */
  List<RequestClass> requestClasses();

  /** Called when a client connection has been admitted. */
  void onClientConnected(ClientHandle client);

  /** Called when an admitted client connection has closed. */
  void onClientClosed(ClientHandle client);

  /** Number of open client connections. */
  int clientCount();

  /** Retry-After of requests that are rejected for lack of memory; 0 if it may not be given. */
  long retryAfterMicros();

  /** Throws if the request is invalid; has no side effects. */
  void validate(ClientRequest request) throws ProtocolException;

  /**
   * Starts a request that passed {@link #validate}.
   *
   * @param session key of the client's session; null if the request class needs none
   * @param requiredPositionMicros position of the session's last write as stated by the client, or
   *     {@link shelffront.routing.Router#UNKNOWN}
   * @param repeat whether the client has sent the request before
   */
  void handle(
      ClientRequest request,
      String session,
      int replicaSet,
      long requiredPositionMicros,
      boolean repeat);

  /** The client has disconnected; no response is needed. */
  void onRequestAbandoned(ClientRequest request);
}
