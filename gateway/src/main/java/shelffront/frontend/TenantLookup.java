package shelffront.frontend;

import java.util.function.Consumer;
import shelffront.pg.ProtocolException;
import shelffront.pg.StartupParameters;

/**
 * Resolves the tenant of a client from its startup message, and the event loop that owns the
 * tenant. Called on the event loop of the client's connection.
 */
public interface TenantLookup {

  /**
   * Starts an asynchronous tenant lookup if one is needed. {@code callback} runs later on the loop
   * of {@code here}, with null or with the error for the client.
   *
   * @return false if the tenant is already known; {@code callback} does not run in that case
   */
  default boolean lookUp(
      StartupParameters startup, FrontendConnections here, Consumer<ProtocolException> callback) {
    return false;
  }

  /** The connections of the loop that owns the client's tenant; by default {@code here}. */
  default FrontendConnections connectionsFor(StartupParameters startup, FrontendConnections here) {
    return here;
  }

  /** Called when a connection that {@link #connectionsFor} moved to {@code there} has closed. */
  default void onConnectionClosed(StartupParameters startup, FrontendConnections there) {}

  /**
   * Returns the handler for a client that needs no password; throws an error for the client if it
   * cannot be admitted.
   */
  RequestHandler authenticate(StartupParameters startup) throws ProtocolException;

  /**
   * Whether a client with these startup parameters must send a password. Where tenants have
   * passwords, the result for an unknown tenant is the same, so that it does not reveal which
   * tenants exist.
   */
  boolean requiresPassword(StartupParameters startup);

  /** Like {@link #authenticate(StartupParameters)}, with the password from the client. */
  RequestHandler authenticate(StartupParameters startup, byte[] password) throws ProtocolException;
}
