package shelffront.frontend;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import shelffront.net.CloseReason;
import shelffront.net.Connection;
import shelffront.net.Counters;
import shelffront.net.EventLoop.Deadline;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;
import shelffront.pg.Statement;
import shelffront.request.ClientRequest;
import shelffront.routing.Consistency;
import shelffront.routing.Idempotency;
import shelffront.routing.RequestClass;
import shelffront.routing.Router;

/**
 * A client's connection: reads its commands, has one at a time in work, and answers them in their
 * order.
 */
final class ClientConnection extends Connection
    implements ClientRequest.ResponseListener, FrontendConnections.ClientHandle {

  private static final int GREATEST_PASSWORD = 1024;
  private static final int MOST_WAITING = 8; // Commands read ahead of the one in work.
  private static final String NO_MEMORY = "53200";
  private static final String TYPES = "QXSPBDECHFdcf";
  private static final int GREATEST_WAITING =
      64 * 1024; // Bytes of those after which no more is read.

  /**
   * From its start to its first whole command: a client that sends none is owed its end within 3 s.
   */
  private static final long FIRST_COMMAND_TIME = 2_500_000;

  private static final long HALF_COMMAND_TIME = 2_000_000;
  private static final long IDLE_TIME = 10_000_000;

  /** What was owed when its time was over has been answered by then, or is looked at again. */
  private static final long LOOK_AGAIN = 20_000;

  /**
   * A client sends its startup and first command at once, and a command in one piece or in quick
   * succession.
   */
  private static final long SILENT = 100_000;

  /**
   * As much as has to be waited for while others wait for the place; what came with it has been
   * read by then.
   */
  static final long BRIEF = 5_000;

  /**
   * A command and when its last byte came: its time counts from there, however long it waits. Input
   * that can't be read stands in the queue too, so that what came before it is answered first.
   */
  private record Command(
      Message message, long arrival, ProtocolException failure, CloseReason reason) {}

  private FrontendConnections clients;
  private FrontendConnections home; // where its tenant lives, once it has named one
  private final FrontendConnections
      cameIn; // whose place it holds; others than clients where it has moved
  private final ArrayDeque<Command> waiting = new ArrayDeque<>();
  private final long openedAt;
  private Map<String, String> startup = Map.of();
  private boolean asksPassword; // the next message is one
  private FrontendConnections.RequestHandler taker; // who serves it, once that is known
  private boolean started;
  private boolean named; // the startup message has come, and it is where its tenant lives
  private boolean lookingUp; // who serves it is being found out
  private boolean found; // that has been found out, and it has not entered yet
  private boolean asked; // a whole command has come
  private boolean half; // part of a command has come
  private boolean skipToSync;
  private String unreadable; // why input from here on makes no sense
  private ClientRequest current;
  private long heardAt; // when bytes last came, or it was opened
  private int waitingBytes;
  private int held; // bytes of commands and answer in hand that the memory budget counts
  private Deadline limit; // on the time to the next whole command; idle while a request is in work

  ClientConnection(FrontendConnections clients, AsynchronousSocketChannel channel) {
    super(clients.network, "client", channel, Message.GREATEST);
    this.clients = clients;
    cameIn = clients;
    openedAt = nowMicros();
    heardAt = openedAt;
    limit =
        clients
            .network
            .loop()
            .scheduleAt(openedAt + FIRST_COMMAND_TIME, () -> expire(CloseReason.STARTUP_TIMEOUT));
  }

  /** Reads what comes; may end it at once, so whoever counts it has done so before. */
  void begin() {
    startReading();
  }

  /** Whether it may be closed without a loss: nothing of it is in work or unsent. */
  @Override
  public boolean isIdle() {
    return current == null && waiting.isEmpty() && isOutputEmpty();
  }

  /** Whether it has sent no whole command in the time in which clients do. */
  boolean isSilent() {
    return !asked && nowMicros() > openedAt + SILENT;
  }

  /**
   * Whether it may be asked to go: nothing is owed, and what it has begun to send has had its time
   * to come.
   */
  boolean mayRetire() {
    return mayRetire(SILENT);
  }

  /**
   * As {@link #mayRetire()}, where others need its place at once and nobody else can give up his.
   */
  boolean mayMakeRoom() {
    return mayRetire(asked ? SILENT : BRIEF);
  }

  private boolean mayRetire(long patience) {
    return isIdle()
        && !isEnding()
        && !hasUnprocessedInput()
        && (asked && !half || nowMicros() > heardAt + patience);
  }

  /**
   * Ends it in order if it may be; what of it crosses that end was not read, and its client sends
   * it elsewhere.
   */
  boolean retire(CloseReason reason) {
    return mayMakeRoom() && tryCloseInOrder(reason);
  }

  /**
   * Its time is over; not while anything is owed, and what was read in this moment is looked at
   * first.
   */
  private void expire(CloseReason reason) {
    if (!isIdle() || !tryCloseInOrder(reason)) {
      limit = network.loop().scheduleAt(nowMicros() + LOOK_AGAIN, () -> expire(reason));
    }
  }

  @Override
  protected void onLingering() {
    limit.cancel();
    clients.lingers(this);
  }

  @Override
  protected boolean discardsInput() {
    return unreadable != null;
  }

  /** Connections that are served together with this one. */
  int siblings() {
    return taker == null ? 0 : taker.clientCount();
  }

  @Override
  public void endWithError(ProtocolException why, CloseReason reason) {
    if (unreadable == null && !isClosed()) {
      unreadable(why, reason);
      work();
    }
  }

  @Override
  protected boolean wantsInput() {
    return unreadable == null
        && !lookingUp
        && waiting.size() < MOST_WAITING
        && waitingBytes < GREATEST_WAITING;
  }

  @Override
  protected void onBytesReceived(ByteBuffer bytes) {
    heardAt = nowMicros();
    try {
      while (!started && startup(bytes)) {
        continue;
      }
      while (started && wantsInput()) {
        Message message = Message.next(bytes, TYPES, Message.GREATEST);
        if (message == null) {
          break;
        }
        // Guards the heap: what waits its turn is counted like what is in work.
        if (!hold(message.body().length)) {
          throw new ProtocolException(NO_MEMORY, "there is no room for the command");
        }
        waitingBytes += message.body().length;
        waiting.add(new Command(message, arrivalMicrosOfConsumed(bytes), null, null));
        asked = true;
      }
    } catch (ProtocolException e) {
      unreadable(
          e,
          switch (e.code()) {
            case Message.TOO_LARGE -> CloseReason.TOO_LARGE;
            case NO_MEMORY -> CloseReason.NO_MEMORY;
            case "3D000" -> CloseReason.NO_TENANT;
            case "53300" -> CloseReason.TENANT_FULL;
            case "57P03" -> CloseReason.TENANT_GONE;
            default -> CloseReason.MALFORMED;
          });
    }
    boolean before = half;
    half = bytes.hasRemaining() && wantsInput();
    boolean begun = half && !before;
    if (begun && asked && isIdle()) {
      idle();
    }
    work();
  }

  private boolean hold(int bytes) {
    boolean taken = network.budget().tryAcquire(bytes);
    held += taken ? bytes : 0;
    return taken;
  }

  private void unreadable(ProtocolException why, CloseReason reason) {
    unreadable = why.getMessage();
    waiting.add(new Command(null, nowMicros(), why, reason));
  }

  /** Takes a message of the startup; false where more bytes are needed or it is over. */
  private boolean startup(ByteBuffer bytes) throws ProtocolException {
    if (asksPassword) {
      return password(bytes);
    }
    if (named) {
      return admitted();
    }
    if (found) {
      return enter();
    }
    Message message = Message.nextStartup(bytes);
    if (message == null || isClosed()) {
      return false;
    }
    switch (message.code()) {
      case Message.SSL_REQUEST, Message.GSS_REQUEST -> write(new byte[] {'N'});
      case Message.CANCEL_REQUEST -> {
        close(CloseReason.TERMINATED); // no key was given out, so there is nothing to cancel
        return false;
      }
      default -> {
        if (message.code() >> 16 != Message.PROTOCOL_3) {
          throw new ProtocolException("0A000", "only version 3 of the protocol is spoken here");
        }
        startup = message.startupParameters();
        lookingUp = clients.tenantLookup.lookUp(startup, clients, this::found);
        return !lookingUp && enter();
      }
    }
    return true;
  }

  /** Who serves it is known now: what has come meanwhile is looked at. */
  private void found(ProtocolException failure) {
    lookingUp = false;
    if (failure != null) {
      unreadable(failure, CloseReason.NO_TENANT);
      work();
      return;
    }
    found = true;
    reofferInput();
  }

  private boolean enter() throws ProtocolException {
    found = false;
    home = clients.tenantLookup.connectionsFor(startup, clients);
    named = true;
    if (home == clients) {
      return admitted();
    }
    moveToLoop(home.network, this::arrive);
    return false;
  }

  private boolean admitted() throws ProtocolException {
    asksPassword = clients.tenantLookup.requiresPassword(startup);
    if (asksPassword) {
      write(Message.authenticationCleartextPassword());
      return true;
    }
    welcome(clients.tenantLookup.authenticate(startup));
    return false;
  }

  @Override
  protected void onLeavingLoop() {
    limit.cancel();
    clients.leaves(this, home);
  }

  /** On the loop where its tenant lives; until here nobody else had it. */
  private void arrive() {
    clients = home;
    clients.arrives(this);
    limit =
        network
            .loop()
            .scheduleAt(openedAt + FIRST_COMMAND_TIME, () -> expire(CloseReason.STARTUP_TIMEOUT));
    resumeAfterMove();
  }

  private boolean password(ByteBuffer bytes) throws ProtocolException {
    Message message = Message.next(bytes, "p", GREATEST_PASSWORD);
    if (message == null || isClosed()) {
      return false;
    }
    asksPassword = false;
    welcome(
        clients.tenantLookup.authenticate(
            startup, Arrays.copyOf(message.body(), Math.max(0, message.body().length - 1))));
    return false;
  }

  private void welcome(FrontendConnections.RequestHandler by) throws ProtocolException {
    if (!tryJoinTenant(by.network())) {
      throw new ProtocolException(NO_MEMORY, "there is no room for the connection");
    }
    taker = by;
    taker.onClientConnected(this);
    started = true;
    write(Message.authenticationOk());
    write(Message.parameterStatus("server_version", "15.0"));
    write(Message.parameterStatus("client_encoding", "UTF8"));
    write(Message.parameterStatus("standard_conforming_strings", "on"));
    write(Message.readyForQuery());
  }

  /** Guards against clients that hold a connection with half a command, or for good. */
  private void idle() {
    limit.cancel();
    limit =
        network
            .loop()
            .scheduleAt(
                nowMicros() + (half ? HALF_COMMAND_TIME : IDLE_TIME),
                () -> expire(CloseReason.IDLE));
    clients.used(this);
  }

  /**
   * Takes up commands while none is in work and the answers before have gone out: output stays
   * bounded. Nothing is begun for a client whose end has been read, though a write to it is still
   * out.
   */
  private void work() {
    while (!isEnding() && current == null && isOutputEmpty() && !waiting.isEmpty()) {
      Command command = waiting.poll();
      waitingBytes -= command.message() == null ? 0 : command.message().body().length;
      try {
        take(command);
      } catch (ProtocolException e) {
        network.counters().add(Counters.Name.REQUESTS_INVALID);
        answer(Message.error(false, e.code(), e.getMessage(), null));
      }
      if (current == null && command.message() != null && !isClosed()) {
        idle();
      }
    }
    readMore();
  }

  private void take(Command command) throws ProtocolException {
    if (command.failure() != null) {
      write(Message.error(true, command.failure().code(), command.failure().getMessage(), null));
      closeWhenWritten(command.reason());
      return;
    }
    Message message = command.message();
    if (skipToSync && message.type() != 'S' && message.type() != 'X') {
      return;
    }
    switch (message.type()) {
      case 'Q' -> query(message, command.arrival());
      case 'X' -> close(CloseReason.TERMINATED);
      case 'S' -> {
        skipToSync = false;
        write(Message.readyForQuery());
      }
      case 'P', 'B', 'D', 'E', 'C', 'H' -> {
        skipToSync = true;
        write(Message.error(false, "0A000", "only simple queries are served", null));
      }
      case 'F' -> throw new ProtocolException("0A000", "function calls are not served");
      default -> {} // copy data outside a copy is dropped, as a server does
    }
  }

  private void query(Message message, long arrival) throws ProtocolException {
    byte[] body = message.body();
    if (body.length == 0 || body[body.length - 1] != 0) {
      throw new ProtocolException("08P01", "the statement is not terminated");
    }
    byte[] bytes = Arrays.copyOf(body, body.length - 1);
    if (blank(bytes)) {
      answer(Message.emptyQueryResponse());
      return;
    }
    Statement statement = Statement.parse(bytes);
    int classIndex = classIndex(statement.value("c"));
    RequestClass type = taker.requestClasses().get(classIndex);
    Consistency read = type.consistency();
    if (type.idempotency() == Idempotency.IDEMPOTENCY_KEY && statement.value("k") == null) {
      throw new ProtocolException("42601", "the class needs a key k");
    }
    long deadline = arrival + statement.number("d", 0) * 1000L;
    // Read before the request is taken up: a fault found later would leave it in work for ever.
    int group = statement.number("cluster", 0);
    String session =
        read == Consistency.WRITE || read == Consistency.SESSION ? statement.key() : null;
    long after = statement.positionMicros("after", Router.UNKNOWN);
    ClientRequest exchange =
        new ClientRequest(statement.value("id"), statement, classIndex, deadline, this);
    taker.validate(exchange);
    network.counters().add(Counters.Name.REQUESTS_TAKEN);
    limit.cancel();
    current = exchange;
    taker.handle(exchange, session, group, after, "1".equals(statement.value("r")));
  }

  private int classIndex(String name) throws ProtocolException {
    List<RequestClass> classes = taker.requestClasses();
    for (int i = 0; i < classes.size(); i++) {
      if (classes.get(i).name().equals(name)) {
        return i;
      }
    }
    throw new ProtocolException("42601", "the class is not known");
  }

  private static boolean blank(byte[] statement) {
    for (byte b : statement) {
      if (b != ' ' && b != ';' && b != '\n' && b != '\r' && b != '\t') {
        return false;
      }
    }
    return true;
  }

  @Override
  public void onServed(byte[] messages) {
    if (!hold(messages.length)) {
      onFailed(); // there is no room to keep the value until the client takes it
      return;
    }
    network.counters().add(Counters.Name.ANSWERS_SERVED);
    over(messages);
  }

  @Override
  public void onRejected(long retryAfter) {
    network.counters().add(Counters.Name.ANSWERS_REFUSED);
    over(
        Message.error(
            false,
            "53300",
            "refused untouched, it may be sent again",
            retryAfter > 0 ? Long.toString((retryAfter + 999) / 1000) : null));
  }

  @Override
  public void onUnavailable() {
    network.counters().add(Counters.Name.ANSWERS_REFUSED);
    over(Message.error(false, "57P03", "refused untouched, the database is being removed", null));
  }

  @Override
  public void onFailed() {
    network.counters().add(Counters.Name.ANSWERS_FAILED);
    over(Message.error(false, "40003", "failed, its effect is not known", null));
  }

  private void over(byte[] messages) {
    current = null;
    answer(messages);
    idle();
    clients.finished(this);
  }

  private void answer(byte[] messages) {
    write(messages);
    write(Message.readyForQuery());
  }

  @Override
  protected void onOutputWritten() {
    network.budget().release(held - waitingBytes);
    held = waitingBytes;
    work();
    clients.finished(this);
  }

  @Override
  protected void onInputOverflow(CloseReason reason) {
    unreadable(
        new ProtocolException(
            reason == CloseReason.NO_MEMORY ? NO_MEMORY : Message.TOO_LARGE,
            "the message is too large"),
        reason);
    work();
  }

  @Override
  protected void onClosed(CloseReason reason) {
    limit.cancel();
    network.budget().release(held);
    if (current != null) {
      network.counters().add(Counters.Name.REQUESTS_LEFT);
      taker.onRequestAbandoned(current);
    }
    if (taker != null) {
      taker.onClientClosed(this);
    }
    clients.ended(this);
    if (cameIn != clients) {
      FrontendConnections there = clients;
      cameIn.network.loop().post(() -> cameIn.endedAway(startup, there));
    }
  }

  @Override
  protected String describe() {
    return unreadable != null
        ? "(" + unreadable + ")"
        : current == null ? "-" : "request=" + current.id;
  }
}
