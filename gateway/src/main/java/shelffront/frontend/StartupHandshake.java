package shelffront.frontend;

import java.nio.ByteBuffer;
import java.util.Arrays;
import shelffront.net.CloseReason;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;
import shelffront.pg.StartupParameters;

/**
 * State machine for the startup of a client connection: startup message, tenant lookup, move to the
 * tenant's event loop, password, admission.
 *
 * <p>Runs on the loop thread of the connection. Every rejection is a {@link ProtocolException} that
 * carries the SQLSTATE and message for the client.
 */
final class StartupHandshake {

  private static final int MAX_PASSWORD_LENGTH = 1024;
  private static final byte[] ENCRYPTION_DECLINED = {'N'};

  private enum Step {
    STARTUP_MESSAGE,
    TENANT_LOOKUP,
    TENANT_KNOWN,
    ADMISSION,
    PASSWORD,
    COMPLETE
  }

  private final ClientConnection connection;
  private Step step = Step.STARTUP_MESSAGE;
  private StartupParameters parameters = StartupParameters.NONE;

  StartupHandshake(ClientConnection connection) {
    this.connection = connection;
  }

  boolean isComplete() {
    return step == Step.COMPLETE;
  }

  boolean isLookingUpTenant() {
    return step == Step.TENANT_LOOKUP;
  }

  /** The parameters of the startup message; empty until it has been received. */
  StartupParameters parameters() {
    return parameters;
  }

  /** Runs one step; false if the startup is complete or waits for input, lookup or move. */
  boolean advance(ByteBuffer bytes) throws ProtocolException {
    return switch (step) {
      case STARTUP_MESSAGE, TENANT_LOOKUP -> processStartupMessage(bytes);
      case TENANT_KNOWN -> continueOnTenantLoop();
      case ADMISSION -> authenticate();
      case PASSWORD -> processPassword(bytes);
      case COMPLETE -> false;
    };
  }

  private boolean processStartupMessage(ByteBuffer bytes) throws ProtocolException {
    Message message = Message.readStartup(bytes);
    if (message == null || connection.isClosed()) {
      return false;
    }
    switch (message.code()) {
      case Message.SSL_REQUEST, Message.GSS_REQUEST -> {
        connection.send(ENCRYPTION_DECLINED);
        return true;
      }
      case Message.CANCEL_REQUEST -> {
        // The gateway issues no cancellation keys, so there is nothing to cancel.
        connection.close(CloseReason.TERMINATED);
        return false;
      }
      default -> {
        return lookUpTenant(message);
      }
    }
  }

  private boolean lookUpTenant(Message startup) throws ProtocolException {
    if (startup.majorVersion() != Message.PROTOCOL_3) {
      throw new ProtocolException(
          SqlState.FEATURE_NOT_SUPPORTED, "only version 3 of the protocol is spoken here");
    }
    parameters = StartupParameters.read(startup);
    FrontendConnections frontend = connection.frontend();
    if (frontend.tenantLookup.lookUp(parameters, frontend, this::onTenantLookedUp)) {
      step = Step.TENANT_LOOKUP;
      return false;
    }
    return continueOnTenantLoop();
  }

  private void onTenantLookedUp(ProtocolException failure) {
    step = failure == null ? Step.TENANT_KNOWN : Step.STARTUP_MESSAGE;
    connection.onTenantLookedUp(failure);
  }

  private boolean continueOnTenantLoop() throws ProtocolException {
    FrontendConnections frontend = connection.frontend();
    FrontendConnections home = frontend.tenantLookup.connectionsFor(parameters, frontend);
    step = Step.ADMISSION;
    if (home == frontend) {
      return authenticate();
    }
    connection.moveTo(home);
    return false;
  }

  private boolean authenticate() throws ProtocolException {
    TenantLookup tenants = connection.frontend().tenantLookup;
    if (tenants.requiresPassword(parameters)) {
      step = Step.PASSWORD;
      connection.send(Message.authenticationCleartextPassword());
      return true;
    }
    complete(tenants.authenticate(parameters));
    return false;
  }

  private boolean processPassword(ByteBuffer bytes) throws ProtocolException {
    Message message = Message.readNext(bytes, "p", MAX_PASSWORD_LENGTH);
    if (message == null || connection.isClosed()) {
      return false;
    }
    step = Step.ADMISSION;
    byte[] body = message.body();
    byte[] password = Arrays.copyOf(body, Math.max(0, body.length - 1));
    complete(connection.frontend().tenantLookup.authenticate(parameters, password));
    return false;
  }

  private void complete(RequestHandler handler) throws ProtocolException {
    connection.joinTenant(handler);
    step = Step.COMPLETE;
    connection.send(Message.authenticationOk());
    connection.send(Message.parameterStatus("server_version", "15.0"));
    connection.send(Message.parameterStatus("client_encoding", "UTF8"));
    connection.send(Message.parameterStatus("standard_conforming_strings", "on"));
    connection.send(Message.readyForQuery());
  }
}
