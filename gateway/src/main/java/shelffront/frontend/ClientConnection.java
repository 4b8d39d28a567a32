package shelffront.frontend;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import shelffront.frontend.CommandQueue.Command;
import shelffront.frontend.RequestParser.ParsedRequest;
import shelffront.net.CloseReason;
import shelffront.net.Connection;
import shelffront.net.Counters;
import shelffront.net.EventLoop.Deadline;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;
import shelffront.request.ClientRequest;

/**
 * A client's connection: reads its commands, has one at a time in work, and answers them in their
 * order.
 *
 * <p>Invariants: a command is taken up only when no request is in work and all output has gone out,
 * so output stays bounded; whatever waits or is in work is held from the memory budget; a request
 * that was taken up gets exactly one answer unless the client leaves.
 */
final class ClientConnection extends Connection
    implements ClientRequest.ResponseListener, ClientHandle {

  /** The message types that a client may send after its startup. */
  private static final String COMMAND_TYPES = "QXSPBDECHFdcf";

  /** What was owed when a timeout came has been answered by then, or is looked at again. */
  private static final long TIMEOUT_RECHECK_MICROS = 20_000;

  private FrontendConnections frontend;

  /** Where it was accepted and holds its place; another than {@link #frontend} after a move. */
  private final FrontendConnections acceptedBy;

  private final StartupHandshake handshake = new StartupHandshake(this);
  private final CommandQueue waiting = new CommandQueue();
  private final ClientActivity activity;

  /** Where it moves to, from the order to its arrival. */
  private FrontendConnections destination;

  /** Null until its tenant has admitted it. */
  private RequestHandler handler;

  /** After an error in the extended protocol, everything up to the next Sync is skipped. */
  private boolean skippingToSync;

  /** Why input from here on is not parsed; null while it is. */
  private String inputFailure;

  private ClientRequest current;

  /** Bytes of waiting commands and of the answer in hand, held from the memory budget. */
  private int heldBytes;

  /** On the time to the next whole command; cancelled while a request is in work. */
  private Deadline commandDeadline;

  ClientConnection(FrontendConnections frontend, AsynchronousSocketChannel channel) {
    super(frontend.network, "client", channel, Message.MAX_BYTES);
    this.frontend = frontend;
    acceptedBy = frontend;
    activity = new ClientActivity(nowMicros());
    scheduleFirstCommandTimeout();
  }

  private void scheduleFirstCommandTimeout() {
    scheduleExpiry(activity.firstCommandDeadlineMicros(), CloseReason.STARTUP_TIMEOUT);
  }

  private void scheduleExpiry(long atMicros, CloseReason reason) {
    commandDeadline = network.loop().scheduleAt(atMicros, () -> expire(reason));
  }

  /** Reads what comes; may end it at once, so whoever counts it has done so before. */
  void begin() {
    startReading();
  }

  FrontendConnections frontend() {
    return frontend;
  }

  /** Whether it may be closed without a loss: nothing of it is in work or unsent. */
  @Override
  public boolean isIdle() {
    return current == null && waiting.isEmpty() && isOutputEmpty();
  }

  /** Whether it has sent no whole command in the time in which clients do. */
  boolean isSilent() {
    return activity.isSilent(nowMicros());
  }

  /** Whether it may be ended: nothing is owed, and what it has begun to send had time to come. */
  boolean mayRetire() {
    return owesNothing() && activity.isQuiet(nowMicros());
  }

  /** As {@link #mayRetire()}, where others need its place and nobody else can give up his. */
  boolean mayMakeRoom() {
    return owesNothing() && activity.isBrieflyQuiet(nowMicros());
  }

  private boolean owesNothing() {
    return isIdle() && !isEnding() && !hasUnprocessedInput();
  }

  /** Ends it in order if it may be; its client sends elsewhere what crosses that end. */
  boolean retire(CloseReason reason) {
    return mayMakeRoom() && tryCloseInOrder(reason);
  }

  /** Not while anything is owed, and what was read in this moment is looked at first. */
  private void expire(CloseReason reason) {
    if (!isIdle() || !tryCloseInOrder(reason)) {
      scheduleExpiry(nowMicros() + TIMEOUT_RECHECK_MICROS, reason);
    }
  }

  @Override
  protected void onLingering() {
    commandDeadline.cancel();
    frontend.onLingering(this);
  }

  /** Connections of the same tenant. */
  int siblingCount() {
    return handler == null ? 0 : handler.clientCount();
  }

  @Override
  public void endWithError(ProtocolException why, CloseReason reason) {
    if (inputFailure == null && !isClosed()) {
      failInput(why, reason);
      takeCommands();
    }
  }

  @Override
  protected boolean discardsInput() {
    return inputFailure != null;
  }

  @Override
  protected boolean wantsInput() {
    return inputFailure == null && !handshake.isLookingUpTenant() && !waiting.isFull();
  }

  @Override
  protected void onBytesReceived(ByteBuffer bytes) {
    activity.recordInput(nowMicros());
    try {
      while (!handshake.isComplete() && handshake.advance(bytes)) {
        continue;
      }
      readCommands(bytes);
    } catch (ProtocolException e) {
      failInput(e, ClientErrors.closeReasonOf(e.sqlState()));
    }
    boolean begun = activity.recordIncompleteCommand(bytes.hasRemaining() && wantsInput());
    if (begun && activity.hasSentCommand() && isIdle()) {
      onIdle();
    }
    takeCommands();
  }

  private void readCommands(ByteBuffer bytes) throws ProtocolException {
    while (handshake.isComplete() && wantsInput()) {
      Message message = Message.next(bytes, COMMAND_TYPES, Message.MAX_BYTES);
      if (message == null) {
        return;
      }
      // Guards the heap: what waits its turn is counted like what is in work.
      if (!tryHold(message.body().length)) {
        throw new ProtocolException(SqlState.OUT_OF_MEMORY, "there is no room for the command");
      }
      waiting.add(message, arrivalMicrosOfConsumed(bytes));
      activity.recordCommand();
    }
  }

  private boolean tryHold(int bytes) {
    boolean taken = network.budget().tryAcquire(bytes);
    heldBytes += taken ? bytes : 0;
    return taken;
  }

  private void failInput(ProtocolException why, CloseReason reason) {
    inputFailure = why.getMessage();
    waiting.addFailure(why, reason, nowMicros());
  }

  @Override
  protected void onInputOverflow(CloseReason reason) {
    failInput(ClientErrors.inputOverflow(reason), reason);
    takeCommands();
  }

  /** Sends a message of the startup. */
  void send(byte[] message) {
    write(message);
  }

  /** The tenant is known now, or the failure that the client is told. */
  void onTenantLookedUp(ProtocolException failure) {
    if (failure != null) {
      failInput(failure, CloseReason.NO_TENANT);
      takeCommands();
      return;
    }
    reofferInput();
  }

  /** Moves to the loop where its tenant lives, to go on with the startup there. */
  void moveTo(FrontendConnections home) {
    destination = home;
    moveToLoop(home.network, this::arrive);
  }

  @Override
  protected void onLeavingLoop() {
    commandDeadline.cancel();
    frontend.onMovedAway(this, destination);
  }

  private void arrive() {
    frontend = destination;
    frontend.onArrived(this);
    scheduleFirstCommandTimeout();
    resumeAfterMove();
  }

  /** Becomes one of the tenant's connections, within its budget. */
  void joinTenant(RequestHandler tenant) throws ProtocolException {
    if (!tryJoinTenant(tenant.network())) {
      throw new ProtocolException(SqlState.OUT_OF_MEMORY, "there is no room for the connection");
    }
    handler = tenant;
    handler.onClientConnected(this);
  }

  /** Guards against clients that hold a connection with part of a command, or for good. */
  private void onIdle() {
    commandDeadline.cancel();
    scheduleExpiry(activity.nextCommandDeadlineMicros(nowMicros()), CloseReason.IDLE);
    frontend.onUsed(this);
  }

  /**
   * Takes up commands while none is in work and the answers before have gone out. Nothing is begun
   * for a client whose end has been read, though a write to it is still outstanding.
   */
  private void takeCommands() {
    while (!isEnding() && current == null && isOutputEmpty() && !waiting.isEmpty()) {
      Command command = waiting.poll();
      try {
        take(command);
      } catch (ProtocolException e) {
        network.counters().add(Counters.Name.REQUESTS_INVALID);
        answer(ClientErrors.invalid(e));
      }
      if (current == null && !command.isFailure() && !isClosed()) {
        onIdle();
      }
    }
    readMore();
  }

  private void take(Command command) throws ProtocolException {
    if (command.isFailure()) {
      write(ClientErrors.fatal(command.failure()));
      closeWhenWritten(command.closeReason());
      return;
    }
    Message message = command.message();
    if (skippingToSync && message.type() != 'S' && message.type() != 'X') {
      return;
    }
    switch (message.type()) {
      case 'Q' -> takeQuery(message, command.arrivalMicros());
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
      default -> {} // Copy data outside a copy is dropped, as a server does.
    }
  }

  private void takeQuery(Message message, long arrivalMicros) throws ProtocolException {
    byte[] statement = RequestParser.statementOf(message);
    if (RequestParser.isBlank(statement)) {
      answer(Message.emptyQueryResponse());
      return;
    }
    ParsedRequest parsed =
        RequestParser.parse(statement, arrivalMicros, handler.requestClasses(), this);
    handler.validate(parsed.request());
    network.counters().add(Counters.Name.REQUESTS_TAKEN);
    commandDeadline.cancel();
    current = parsed.request();
    handler.handle(
        parsed.request(),
        parsed.session(),
        parsed.replicaSet(),
        parsed.requiredPositionMicros(),
        parsed.repeat());
  }

  @Override
  public void onServed(byte[] messages) {
    if (!tryHold(messages.length)) {
      onFailed(); // There is no room to keep the value until the client takes it.
      return;
    }
    network.counters().add(Counters.Name.ANSWERS_SERVED);
    finishRequest(messages);
  }

  @Override
  public void onRejected(long retryAfterMicros) {
    network.counters().add(Counters.Name.ANSWERS_REFUSED);
    finishRequest(ClientErrors.rejected(retryAfterMicros));
  }

  @Override
  public void onUnavailable() {
    network.counters().add(Counters.Name.ANSWERS_REFUSED);
    finishRequest(ClientErrors.unavailable());
  }

  @Override
  public void onFailed() {
    network.counters().add(Counters.Name.ANSWERS_FAILED);
    finishRequest(ClientErrors.failed());
  }

  private void finishRequest(byte[] messages) {
    current = null;
    answer(messages);
    onIdle();
    frontend.onMaybeIdle(this);
  }

  private void answer(byte[] messages) {
    write(messages);
    write(Message.readyForQuery());
  }

  @Override
  protected void onOutputWritten() {
    network.budget().release(heldBytes - waiting.bytes());
    heldBytes = waiting.bytes();
    takeCommands();
    frontend.onMaybeIdle(this);
  }

  @Override
  protected void onClosed(CloseReason reason) {
    commandDeadline.cancel();
    network.budget().release(heldBytes);
    if (current != null) {
      network.counters().add(Counters.Name.REQUESTS_LEFT);
      handler.onRequestAbandoned(current);
    }
    if (handler != null) {
      handler.onClientClosed(this);
    }
    frontend.onClosed(this);
    if (acceptedBy != frontend) {
      FrontendConnections closedAt = frontend;
      acceptedBy
          .network
          .loop()
          .post(() -> acceptedBy.onClosedElsewhere(handshake.parameters(), closedAt));
    }
  }

  @Override
  protected String describe() {
    if (inputFailure != null) {
      return "(" + inputFailure + ")";
    }
    return current == null ? "-" : "request=" + current.id;
  }
}
