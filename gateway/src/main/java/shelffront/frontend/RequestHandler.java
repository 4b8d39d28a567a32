package shelffront.frontend;

import java.util.List;
import shelffront.net.Network;
import shelffront.pg.ProtocolException;
import shelffront.request.ClientRequest;
import shelffront.routing.RequestClass;

/**
 * Takes the requests of a tenant's clients. Each is answered through its {@link
 * ClientRequest.ResponseListener}, exactly once unless its client has left. Called on the event
 * loop of the tenant.
 */
public interface RequestHandler {

  /** What its clients' connections post to, borrow from and count in. */
  Network network();

  /** The classes that a request may name. */
  List<RequestClass> requestClasses();

  /** A connection was admitted and is served from now on. */
  void onClientConnected(ClientHandle client);

  /** A connection that was admitted has closed. */
  void onClientClosed(ClientHandle client);

  /** Connections that it has now. */
  int clientCount();

  /** Throws where the request can't be taken for what it says; nothing has been done then. */
  void validate(ClientRequest request) throws ProtocolException;

  /**
   * Takes up a request that {@link #validate} passed.
   *
   * @param session null where the class needs none
   * @param requiredPositionMicros that of the session's last write as the client tells it, or
   *     {@link shelffront.routing.Router#UNKNOWN}
   * @param repeat whether the client has sent the request before
   */
  void handle(
      ClientRequest request,
      String session,
      int replicaSet,
      long requiredPositionMicros,
      boolean repeat);

  /** The client waits no longer; no answer is owed. */
  void onRequestAbandoned(ClientRequest request);
}
