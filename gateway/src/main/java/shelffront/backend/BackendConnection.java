package shelffront.backend;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import shelffront.net.CloseReason;
import shelffront.net.Connection;
import shelffront.net.EventLoop.Deadline;
import shelffront.net.Network;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;
import shelffront.pg.SqlState;
import shelffront.routing.AttemptStatus;

/**
 * A connection to a database host. It carries a single call at a time and is closed to abandon one.
 */
final class BackendConnection extends Connection {

  private static final int GREATEST_GREETING = 8192;

  /** An answer comes in one piece or in quick succession: one that stops half-way is spoilt. */
  private static final long ANSWER_TIME = 250_000;

  final BackendHost host;
  private final InetSocketAddress address;
  private final BackendConnections servers;
  private final Deadline openBy;
  private Deadline idleUntil;
  private Deadline answerBy;
  private boolean ready;
  private BackendCall call;
  private boolean requestWritten;
  private boolean inPieces; // part of a message has come
  private boolean spoilt;
  private QueryResponse answer = new QueryResponse();
  private int held; // bytes of the answer that the memory budget counts

  BackendConnection(
      Network network,
      AsynchronousSocketChannel channel,
      BackendHost host,
      BackendConnections servers,
      long openWithin) {
    super(network, "host", channel, Message.MAX_ROW_BYTES);
    this.host = host;
    address = host.address;
    this.servers = servers;
    this.openBy =
        network.loop().scheduleAfter(openWithin, () -> close(CloseReason.CONNECT_TIMEOUT));
  }

  /** Connects; may end it at once, so whoever counts it has done so before. */
  void open() {
    write(Message.startup(servers.login.user(), servers.login.database()));
    connect(address);
  }

  /**
   * Whether its host is still the one in the list: another address is another machine, with other
   * data.
   */
  boolean isCurrent() {
    return address.equals(host.address);
  }

  boolean ready() {
    return ready;
  }

  void begin(BackendCall next, byte[] query) {
    cancel(idleUntil);
    call = next;
    requestWritten = false;
    write(query);
  }

  void idleUntil(long time) {
    idleUntil = network.loop().scheduleAt(time, () -> close(CloseReason.IDLE));
  }

  private static void cancel(Deadline deadline) {
    if (deadline != null) {
      deadline.cancel();
    }
  }

  @Override
  protected void onOutputWritten() {
    requestWritten = call != null;
  }

  /**
   * Ends the call's stay here by closing: a host connection never carries another after an open
   * one.
   */
  void abandon(CloseReason reason) {
    call = null;
    close(reason);
  }

  @Override
  protected void onBytesReceived(ByteBuffer bytes) {
    try {
      while (!isClosed() && (ready ? take(bytes) : greeting(bytes))) {
        continue;
      }
    } catch (ProtocolException e) {
      spoilt(e.getMessage());
      return;
    }
    inPieces = bytes.hasRemaining();
    if (!isClosed() && call != null && answerBy == null && (inPieces || answer.begun())) {
      answerBy =
          network.loop().scheduleAt(nowMicros() + ANSWER_TIME, () -> spoilt("it does not go on"));
    }
  }

  private void spoilt(String why) {
    network.log().println("spoilt answer of " + host.id + ": " + why);
    spoilt = true;
    close(CloseReason.BAD_ANSWER);
  }

  /**
   * Takes a message that comes before the first ReadyForQuery; false where there is no whole one.
   */
  private boolean greeting(ByteBuffer bytes) throws ProtocolException {
    Message m = Message.next(bytes, "RSKNZE", GREATEST_GREETING);
    if (m == null) {
      return false;
    }
    if (m.type() == 'E') {
      close(CloseReason.REFUSED_BY_HOST);
    } else if (m.type() == 'Z' && bytes.hasRemaining()) {
      close(CloseReason.SURPLUS);
    } else if (m.type() == 'Z') {
      ready = true;
      openBy.cancel();
      servers.onConnectionReady(this);
    }
    return true;
  }

  /**
   * Takes a message of the answer; false where there is no whole one. Guards against bytes that
   * belong to no request, such as a second copy of an answer: what comes while nothing is asked, or
   * before the request was written whole, ends the connection, or it would be read as the answer to
   * the next request.
   */
  private boolean take(ByteBuffer bytes) throws ProtocolException {
    if (!bytes.hasRemaining()) {
      return false;
    }
    if (call == null) {
      close(CloseReason.SURPLUS);
      return false;
    }
    if (!requestWritten) {
      throw new ProtocolException(
          SqlState.PROTOCOL_VIOLATION, "it came before the request was written");
    }
    Message m = answer.next(bytes);
    if (m == null) {
      return false;
    }
    answer.take(m);
    if (!network.budget().tryAcquire(answer.size() - held)) {
      close(CloseReason.NO_MEMORY);
      return false;
    }
    held = answer.size();
    if (answer.over()) {
      // A buffer that is full to the end may hide surplus that the socket still holds.
      finish(bytes.hasRemaining() || bytes.limit() == bytes.capacity());
    } else if (answer.fatal()) {
      close(CloseReason.REFUSED_BY_HOST);
    }
    return true;
  }

  private void finish(boolean surplus) {
    BackendCall done = call;
    call = null;
    BackendResponse reply = answer.reply(done.attempt == null);
    dropAnswer();
    if (surplus) {
      close(CloseReason.SURPLUS);
    } else {
      servers.onConnectionFree(
          this); // before the outcome, whose next send may want this connection
    }
    servers.finishCall(done, reply);
  }

  /**
   * A connection that breaks before the request's last byte was handed to the socket proves that it
   * never ran; after that it may have, unless the host had said how it ended. What was spoilt
   * proves nothing.
   */
  @Override
  protected void onClosed(CloseReason reason) {
    openBy.cancel();
    cancel(idleUntil);
    BackendCall broken = call;
    call = null;
    BackendResponse reply = null;
    if (broken != null) {
      boolean said = answer.whole() && !inPieces && !spoilt && reason != CloseReason.NO_MEMORY;
      reply =
          said
              ? answer.reply(broken.attempt == null)
              : BackendResponse.of(
                  spoilt
                      ? AttemptStatus.ERROR
                      : requestWritten ? AttemptStatus.RESET : AttemptStatus.CONNECT_FAILED);
    }
    dropAnswer();
    servers.onConnectionClosed(this);
    if (broken != null) {
      servers.finishCall(broken, reply);
    }
  }

  /**
   * Host connections are many and kept for long: none keeps the room that its greatest answer took.
   */
  private void dropAnswer() {
    cancel(answerBy);
    answerBy = null;
    network.budget().release(held);
    held = 0;
    answer = new QueryResponse();
  }

  @Override
  protected String describe() {
    return host.id;
  }
}
