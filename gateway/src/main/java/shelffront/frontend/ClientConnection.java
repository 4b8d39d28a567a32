package shelffront.frontend;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import shelffront.frontend.CommandQueue.Command;
import shelffront.frontend.CommandQueue.Entry;
import shelffront.frontend.CommandQueue.Failure;
import shelffront.frontend.CommandQueue.Rejections;
import shelffront.frontend.RequestParser.ParsedRequest;
import shelffront.net.CloseReason;
import shelffront.net.Connection;
import shelffront.net.Counters;
import shelffront.net.Network;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;
import shelffront.request.ClientRequest;

/**
 * A client's connection: reads commands, processes one at a time, and responds in order.
 *
 * <p>Invariants: a command is started only when no request is in progress and all output has been
 * written, so output stays bounded; a request that was started gets exactly one response unless the
 * client disconnects. Runs on the loop thread of the connection.
 */
final class ClientConnection extends Connection implements ClientHandle {

  private FrontendConnections frontend;

  /** Accepted this connection and counts its slot; differs from {@link #frontend} after a move. */
  private final FrontendConnections acceptedBy;

  private final StartupHandshake handshake = new StartupHandshake(this);
  private final CommandReader commands = new CommandReader(this);
  private final ResponseWriter responses = new ResponseWriter(this, commands);
  private final ClientActivity activity;

  /** Target of a move in progress; set by {@link #moveTo}. */
  private FrontendConnections destination;

  /** Null until the tenant has admitted the connection. */
  private RequestHandler handler;

  /** After an extended-protocol error, all messages up to the next Sync are skipped. */
  private boolean skippingToSync;

  /** An end that the tenant has requested; null without one. */
  private RequestedEnd requestedEnd;

  private ClientRequest current;

  /** Cancelled while a request is in progress. */
  private final CommandTimeout commandTimeout;

  ClientConnection(FrontendConnections frontend, AsynchronousSocketChannel channel) {
    super(frontend.network, "client", channel, Message.MAX_BYTES);
    this.frontend = frontend;
    acceptedBy = frontend;
    activity = new ClientActivity(nowMicros());
    commandTimeout = new CommandTimeout(this, activity);
  }

  /** Starts reading; may close the connection synchronously, so the caller registers it first. */
  void start() {
    startReading();
  }

  FrontendConnections frontend() {
    return frontend;
  }

  /** Whether no request is in progress or queued and all output has been written. */
  private boolean isIdle() {
    return current == null && commands.isEmpty() && isOutputEmpty();
  }

  /** Whether the client has sent no complete command within the usual time after connecting. */
  boolean isSilent() {
    return activity.isSilent(nowMicros());
  }

  /** Whether it may be closed: nothing is outstanding, and a partial command had time to arrive. */
  boolean isEvictable() {
    return hasNothingOutstanding() && activity.isQuiet(nowMicros());
  }

  /** Like {@link #isEvictable()}, with a shorter wait; used if no connection is evictable. */
  boolean isEvictableUnderPressure() {
    return hasNothingOutstanding() && activity.isBrieflyQuiet(nowMicros());
  }

  private boolean hasNothingOutstanding() {
    return isIdle() && !isEnding() && !hasUnprocessedInput();
  }

  /**
   * Closes the connection in order if nothing is outstanding. A command that crosses the close is
   * discarded unexecuted, so the client can send it on another connection.
   */
  boolean closeIfIdle(CloseReason reason) {
    return isEvictableUnderPressure() && tryCloseGracefully(reason);
  }

  /** Closes the connection in order, or does nothing if it is busy or has unprocessed input. */
  boolean tryCloseIdle(CloseReason reason) {
    return isIdle() && tryCloseGracefully(reason);
  }

  @Override
  protected void onLingering() {
    commandTimeout.cancel();
    frontend.onLingering(this);
  }

  /** Number of client connections of the same tenant; 0 before admission. */
  int tenantConnectionCount() {
    return handler == null ? 0 : handler.clientCount();
  }

  @Override
  public void endWhenAnswered(ProtocolException why, CloseReason reason, long readUntilMicros) {
    if (requestedEnd == null) {
      requestedEnd = new RequestedEnd(this, why, reason, readUntilMicros);
      requestedEnd.check();
    }
  }

  /** Ends the connection with an error if nothing is outstanding; true if it is ending. */
  boolean endIfIdle(ProtocolException why, CloseReason reason) {
    if (isEvictable()) {
      write(ClientErrors.fatal(why));
      closeWhenWritten(reason);
    }
    return isEnding();
  }

  /** Ends a connection that was not admitted; its input is discarded. */
  void rejectConnection(ProtocolException why, CloseReason reason) {
    if (!commands.hasInputEnded() && !isClosed()) {
      commands.fail(why, reason);
      processCommands();
    }
  }

  @Override
  protected boolean discardsInput() {
    return commands.hasInputEnded();
  }

  @Override
  protected boolean mayStartRead() {
    return frontend.readsRequests()
        && (requestedEnd == null || requestedEnd.mayStartRead(nowMicros()));
  }

  @Override
  protected boolean wantsInput() {
    return !handshake.isLookingUpTenant() && commands.wantsInput();
  }

  @Override
  protected void onBytesReceived(ByteBuffer bytes) {
    activity.recordInput(nowMicros());
    try {
      while (!handshake.isComplete() && handshake.advance(bytes)) {
        continue;
      }
      if (handshake.isComplete() && commands.read(bytes)) {
        activity.recordCommand();
      }
    } catch (ProtocolException e) {
      commands.fail(e, ClientErrors.closeReasonOf(e.sqlState()));
    }
    boolean commandBegun =
        activity.recordIncompleteCommand(commands.isWithinCommand(bytes) && wantsInput());
    if (commandBegun && activity.hasSentCommand() && isIdle()) {
      onIdle();
    }
    processCommands();
  }

  /** When the last byte consumed from the input was read from the socket. */
  long arrivalMicros(ByteBuffer bytes) {
    return arrivalMicrosOfConsumed(bytes);
  }

  Network network() {
    return network;
  }

  @Override
  protected boolean tryAcquireInputMemory(long bytes) {
    return network.budget().tryAcquireForNewRequest(bytes);
  }

  @Override
  protected void giveUpInput(ByteBuffer bytes) {
    if (handshake.isComplete()) {
      commands.rejectAll(bytes);
    }
  }

  @Override
  protected boolean givesUpInput() {
    return commands.isRejecting();
  }

  @Override
  protected void onInputCaughtUp() {
    commands.stopRejecting();
  }

  @Override
  protected void onInputOverflow(CloseReason reason) {
    if (reason == CloseReason.NO_MEMORY && handshake.isComplete()) {
      commands.rejectIncomplete();
      reofferInput();
      return;
    }
    commands.fail(ClientErrors.inputOverflow(reason), reason);
    processCommands();
  }

  /** Sends a startup message or whole responses. */
  void send(byte[] message) {
    write(message);
  }

  /** Continues the startup after the tenant lookup; a non-null failure goes to the client. */
  void onTenantLookedUp(ProtocolException failure) {
    if (failure != null) {
      commands.fail(failure, CloseReason.NO_TENANT);
      processCommands();
      return;
    }
    reofferInput();
  }

  /** Moves to the event loop that owns the tenant; the startup continues there. */
  void moveTo(FrontendConnections home) {
    destination = home;
    moveToLoop(home.network, this::resumeOnNewLoop);
  }

  @Override
  protected void onLeavingLoop() {
    commandTimeout.cancel();
    frontend.onMovedAway(this, destination);
  }

  private void resumeOnNewLoop() {
    frontend = destination;
    frontend.onArrived(this);
    commandTimeout.startForFirstCommand();
    resumeAfterMove();
  }

  /** Joins the tenant's connections; throws if the tenant's memory budget has no room. */
  void joinTenant(RequestHandler tenant) throws ProtocolException {
    if (!tryJoinTenant(tenant.network())) {
      throw new ProtocolException(SqlState.OUT_OF_MEMORY, "there is no room for the connection");
    }
    handler = tenant;
    handler.onClientConnected(this);
  }

  /** Restarts the timeout that closes connections that stay idle or stop within a command. */
  private void onIdle() {
    commandTimeout.restart();
    frontend.onUsed(this);
  }

  /**
   * Starts queued commands while no request is in progress and all responses have been written. No
   * command is started once the client has closed its side, even if a write is outstanding.
   */
  private void processCommands() {
    while (!isEnding() && current == null && isOutputEmpty() && !commands.isEmpty()) {
      Entry entry = commands.poll();
      if (entry instanceof Failure failure) {
        write(ClientErrors.fatal(failure.why()));
        closeWhenWritten(failure.reason());
      } else if (entry instanceof Rejections rejections) {
        responses.rejectForMemory(rejections.count(), handler.retryAfterMicros());
      } else if (entry instanceof Command command) {
        processOrRespond(command);
      }
      if (current == null && !isEnding()) {
        onIdle();
      }
    }
    readMore();
  }

  private void processOrRespond(Command command) {
    if (command.message().type() == 'Q' && isReadBehind()) {
      responses.rejectForMemory(1, handler.retryAfterMicros());
      return;
    }
    try {
      process(command);
    } catch (ProtocolException e) {
      network.counters().add(Counters.Name.REQUESTS_INVALID);
      respond(ClientErrors.invalid(e));
    }
  }

  private void process(Command command) throws ProtocolException {
    Message message = command.message();
    if (skippingToSync && message.type() != 'S' && message.type() != 'X') {
      return;
    }
    switch (message.type()) {
      case 'Q' -> processQuery(message, command.arrivalMicros());
      case 'X' -> close(CloseReason.TERMINATED);
      case 'S' -> {
        skippingToSync = false;
        write(Message.readyForQuery());
      }
      case 'P', 'B', 'D', 'E', 'C', 'H' -> {
        skippingToSync = true;
        write(ClientErrors.extendedProtocol());
      }
      case 'F' ->
          throw new ProtocolException(
              SqlState.FEATURE_NOT_SUPPORTED, "function calls are not served");
      default -> {} // PostgreSQL servers also ignore copy data outside a copy operation.
    }
  }

  private void processQuery(Message message, long arrivalMicros) throws ProtocolException {
    byte[] statement = RequestParser.statementOf(message);
    if (RequestParser.isBlank(statement)) {
      respond(Message.emptyQueryResponse());
      return;
    }
    ParsedRequest parsed =
        RequestParser.parse(
            statement,
            arrivalMicros,
            frontend.latestDeadlineMicros(),
            handler.requestClasses(),
            responses);
    handler.validate(parsed.request());
    network.counters().add(Counters.Name.REQUESTS_TAKEN);
    commandTimeout.cancel();
    current = parsed.request();
    parsed.startWith(handler);
  }

  /** Sends the final response of the request in progress. */
  void finishRequest(Counters.Name counter, byte[] messages) {
    network.counters().add(counter);
    current = null;
    respond(messages);
    onIdle();
    frontend.onMaybeIdle(this);
  }

  void respond(byte[] messages) {
    write(messages);
    write(Message.readyForQuery());
  }

  @Override
  protected void onOutputWritten() {
    commands.releaseProcessed();
    processCommands();
    frontend.onMaybeIdle(this);
  }

  @Override
  protected void onClosed(CloseReason reason) {
    commandTimeout.cancel();
    commands.releaseAll();
    if (requestedEnd != null) {
      requestedEnd.cancel();
    }
    if (current != null) {
      network.counters().add(Counters.Name.REQUESTS_LEFT);
      handler.onRequestAbandoned(current);
    }
    if (handler != null) {
      handler.onClientClosed(this);
    }
    frontend.onClosed(this);
    if (acceptedBy != frontend) {
      acceptedBy.postClosedElsewhere(handshake.parameters(), frontend);
    }
  }

  @Override
  protected String describe() {
    if (commands.failure() != null) {
      return "(" + commands.failure() + ")";
    }
    return current == null ? "-" : "request=" + current.id;
  }
}
