package shelffront.frontend;

import java.util.Map;
import java.util.function.Consumer;
import shelffront.pg.ProtocolException;

/**
 * Finds the tenant of a client by its startup message, and where that tenant lives. Called on the
 * event loop of the client's connection.
 */
public interface TenantLookup {

  /**
   * Finds out who serves a client, where that takes time: {@code then} runs later on the loop of
   * these clients, with null or with what the client is told. False, and nothing runs later, where
   * it is known already.
   */
  default boolean lookUp(
      Map<String, String> startup, FrontendConnections here, Consumer<ProtocolException> then) {
    return false;
  }

  /** Who serves a client on the loop where its tenant lives; by default those where it came in. */
  default FrontendConnections connectionsFor(
      Map<String, String> startup, FrontendConnections here) {
    return here;
  }

  /** A connection that {@link #connectionsFor} sent elsewhere has ended there. */
  default void onConnectionClosed(Map<String, String> startup, FrontendConnections there) {}

  /**
   * By the parameters of its startup message; throws where nobody does, with what the client is
   * told.
   */
  RequestHandler authenticate(Map<String, String> startup) throws ProtocolException;

  /**
   * Whether a client that begins like this is asked for a password first; the same for names nobody
   * has.
   */
  boolean requiresPassword(Map<String, String> startup);

  /** As {@link #authenticate(Map)}, with the password that it gave. */
  RequestHandler authenticate(Map<String, String> startup, byte[] password)
      throws ProtocolException;
}
