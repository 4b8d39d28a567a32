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
 * A connection to a database host.
 *
 * <p>Invariants: it carries a single call at a time; a call is written only once the host has
 * declared it ready; a call is abandoned by closing it; bytes that belong to no call end it.
 */
final class BackendConnection extends Connection {

  private static final int MAX_STARTUP_MESSAGE_BYTES = 8192;

  /** An answer comes in one piece or in quick succession: one that stops half-way is spoilt. */
  private static final long RESPONSE_STALL_MICROS = 250_000;

  final BackendHost host;
  private final InetSocketAddress address;
  private final BackendConnections backend;
  private final Deadline openDeadline;
  private Deadline idleDeadline;
  private Deadline responseDeadline;
  private boolean ready;
  private BackendCall call;
  private boolean requestWritten;

  /** Part of a message has come. */
  private boolean messageIncomplete;

  private boolean malformed;
  private QueryResponse response = new QueryResponse();

  /** Bytes of the response that are held from the memory budget. */
  private int heldBytes;

  BackendConnection(
      Network network,
      AsynchronousSocketChannel channel,
      BackendHost host,
      BackendConnections backends,
      long connectTimeoutMicros) {
    super(network, "host", channel, Message.MAX_ROW_BYTES);
    this.host = host;
    address = host.address;
    this.backend = backends;
    this.openDeadline =
        network
            .loop()
            .scheduleAfter(connectTimeoutMicros, () -> close(CloseReason.CONNECT_TIMEOUT));
  }

  /** Connects; may end it at once, so whoever counts it has done so before. */
  void open() {
    write(Message.startup(backend.login.user(), backend.login.database()));
    connect(address);
  }

  /**
   * Whether its host is still the one in the list: another address is another machine, with other
   * data.
   */
  boolean isCurrent() {
    return address.equals(host.address);
  }

  boolean isReady() {
    return ready;
  }

  void begin(BackendCall next, byte[] query) {
    cancel(idleDeadline);
    call = next;
    requestWritten = false;
    write(query);
  }

  void closeWhenIdleAt(long atMicros) {
    idleDeadline = network.loop().scheduleAt(atMicros, () -> close(CloseReason.IDLE));
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
      while (!isClosed() && (ready ? takeResponseMessage(bytes) : takeStartupMessage(bytes))) {
        continue;
      }
    } catch (ProtocolException e) {
      closeAsMalformed(e.getMessage());
      return;
    }
    messageIncomplete = bytes.hasRemaining();
    if (!isClosed()
        && call != null
        && responseDeadline == null
        && (messageIncomplete || response.hasBegun())) {
      responseDeadline =
          network
              .loop()
              .scheduleAt(
                  nowMicros() + RESPONSE_STALL_MICROS, () -> closeAsMalformed("it does not go on"));
    }
  }

  private void closeAsMalformed(String why) {
    network.log().println("spoilt answer of " + host.id + ": " + why);
    malformed = true;
    close(CloseReason.BAD_ANSWER);
  }

  /**
   * Takes a message that comes before the first ReadyForQuery; false where there is no whole one.
   */
  private boolean takeStartupMessage(ByteBuffer bytes) throws ProtocolException {
    Message message = Message.next(bytes, "RSKNZE", MAX_STARTUP_MESSAGE_BYTES);
    if (message == null) {
      return false;
    }
    if (message.type() == 'E') {
      close(CloseReason.REFUSED_BY_HOST);
    } else if (message.type() == 'Z' && bytes.hasRemaining()) {
      close(CloseReason.SURPLUS);
    } else if (message.type() == 'Z') {
      ready = true;
      openDeadline.cancel();
      backend.onConnectionReady(this);
    }
    return true;
  }

  /**
   * Takes a message of the answer; false where there is no whole one. Guards against bytes that
   * belong to no request, such as a second copy of an answer: what comes while nothing is asked, or
   * before the request was written whole, ends the connection, or it would be read as the answer to
   * the next request.
   */
  private boolean takeResponseMessage(ByteBuffer bytes) throws ProtocolException {
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
    Message message = response.next(bytes);
    if (message == null) {
      return false;
    }
    response.take(message);
    if (!network.budget().tryAcquire(response.heldBytes() - heldBytes)) {
      close(CloseReason.NO_MEMORY);
      return false;
    }
    heldBytes = response.heldBytes();
    if (response.isComplete()) {
      // A buffer that is full to the end may hide surplus that the socket still holds.
      finish(bytes.hasRemaining() || bytes.limit() == bytes.capacity());
    } else if (response.isFatal()) {
      close(CloseReason.REFUSED_BY_HOST);
    }
    return true;
  }

  private void finish(boolean surplus) {
    BackendCall completedCall = call;
    call = null;
    BackendResponse reply = response.toBackendResponse(completedCall.attempt == null);
    discardResponse();
    if (surplus) {
      close(CloseReason.SURPLUS);
    } else {
      backend.onConnectionFree(
          this); // before the outcome, whose next send may want this connection
    }
    backend.finishCall(completedCall, reply);
  }

  /**
   * A connection that breaks before the request's last byte was handed to the socket proves that it
   * never ran; after that it may have, unless the host had said how it ended. What was spoilt
   * proves nothing.
   */
  @Override
  protected void onClosed(CloseReason reason) {
    openDeadline.cancel();
    cancel(idleDeadline);
    BackendCall interruptedCall = call;
    call = null;
    BackendResponse reply = null;
    if (interruptedCall != null) {
      boolean outcomeKnown =
          response.isOutcomeKnown()
              && !messageIncomplete
              && !malformed
              && reason != CloseReason.NO_MEMORY;
      reply =
          outcomeKnown
              ? response.toBackendResponse(interruptedCall.attempt == null)
              : BackendResponse.of(
                  malformed
                      ? AttemptStatus.ERROR
                      : requestWritten ? AttemptStatus.RESET : AttemptStatus.CONNECT_FAILED);
    }
    discardResponse();
    backend.onConnectionClosed(this);
    if (interruptedCall != null) {
      backend.finishCall(interruptedCall, reply);
    }
  }

  /**
   * Host connections are many and kept for long: none keeps the room that its greatest answer took.
   */
  private void discardResponse() {
    cancel(responseDeadline);
    responseDeadline = null;
    network.budget().release(heldBytes);
    heldBytes = 0;
    response = new QueryResponse();
  }

  @Override
  protected String describe() {
    return host.id;
  }
}
