package shelffront.backend;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import shelffront.net.CloseReason;
import shelffront.net.Connection;
import shelffront.net.EventLoop.Deadline;
import shelffront.net.MemoryReservation;
import shelffront.net.Network;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;
import shelffront.routing.AttemptStatus;

/**
 * A connection to a database host.
 *
 * <p>Invariants: a connection runs one call at a time; a call is written only after the host has
 * sent ReadyForQuery; a call ends with a response only if {@link ResponseVerifier} proves that it
 * belongs to the call; abandoning a call closes the connection; bytes that belong to no call close
 * it too. Runs on the loop thread.
 */
final class BackendConnection extends Connection {

  private static final int MAX_STARTUP_MESSAGE_BYTES = 8192;
  private static final byte[] EMPTY_QUERY = Message.query(new byte[0]);

  /**
   * Hosts send a response in one piece or in quick succession, so a response that is still
   * incomplete this long after its first bytes is malformed.
   */
  private static final long RESPONSE_TIMEOUT_MICROS = 250_000;

  final BackendHost host;
  private final InetSocketAddress address;
  private final BackendConnections backend;
  private final Deadline openDeadline;
  private Deadline idleDeadline;
  private Deadline responseDeadline;
  private boolean ready;
  private BackendCall call;
  private boolean requestWritten;

  /** The input ends in a partial message. */
  private boolean messageIncomplete;

  private boolean malformed;
  private final ResponseVerifier verifier = new ResponseVerifier(() -> write(EMPTY_QUERY));
  private QueryResponse response = new QueryResponse(false);

  /** Memory of the response. */
  private final MemoryReservation reservation = new MemoryReservation();

  BackendConnection(
      Network network,
      AsynchronousSocketChannel channel,
      BackendHost host,
      BackendConnections backend,
      long connectTimeoutMicros) {
    super(network, "host", channel, Message.MAX_ROW_BYTES);
    this.host = host;
    address = host.address;
    this.backend = backend;
    this.openDeadline =
        network
            .loop()
            .scheduleAfter(connectTimeoutMicros, () -> close(CloseReason.CONNECT_TIMEOUT));
  }

  /** Connects; may close the connection synchronously, so the caller registers it first. */
  void open() {
    write(Message.startup(backend.login.user(), backend.login.database()));
    connect(address);
  }

  /**
   * Whether the host still has the address of this connection. A host with another address is
   * another machine, with other data.
   */
  boolean isCurrent() {
    return address.equals(host.address);
  }

  boolean isReady() {
    return ready;
  }

  void send(BackendCall next, byte[] query) {
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
    readMore();
  }

  /**
   * Whether input can be judged: a response is processed after its request was written completely.
   * What arrives before that may be a second copy of the response to the previous request.
   */
  @Override
  protected boolean wantsInput() {
    return call == null || requestWritten;
  }

  /** Closes the connection: it cannot be reused, because the response is still outstanding. */
  void abandon(CloseReason reason) {
    call = null;
    close(reason);
  }

  @Override
  protected void onBytesReceived(ByteBuffer bytes) {
    try {
      while (!isClosed()
          && (ready ? processResponseMessage(bytes) : processStartupMessage(bytes))) {
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
                  nowMicros() + RESPONSE_TIMEOUT_MICROS,
                  () ->
                      closeAsMalformed(
                          "response is incomplete "
                              + RESPONSE_TIMEOUT_MICROS
                              + " us after its first bytes"));
    }
  }

  private void closeAsMalformed(String why) {
    network.log().println("malformed response from host " + host.id + ": " + why);
    malformed = true;
    close(CloseReason.BAD_ANSWER);
  }

  /** Processes a message up to the first ReadyForQuery; false if no complete one is available. */
  private boolean processStartupMessage(ByteBuffer bytes) throws ProtocolException {
    Message message = Message.readNext(bytes, "RSKNZE", MAX_STARTUP_MESSAGE_BYTES);
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
   * Processes a message of the response; false if no complete one is available. Bytes that arrive
   * while no request is active, such as a second copy of a response, close the connection.
   */
  private boolean processResponseMessage(ByteBuffer bytes) throws ProtocolException {
    if (!bytes.hasRemaining()) {
      return false;
    }
    if (call == null) {
      close(CloseReason.SURPLUS);
      return false;
    }
    Message message = response.next(bytes);
    if (message == null) {
      return false;
    }
    response.apply(message);
    int keptBytes = response.keptBytes() + verifier.heldBytes();
    if (!reservation.tryAdd(keptBytes - reservation.heldBytes(), network.budget()::tryAcquire)) {
      close(CloseReason.NO_MEMORY);
      return false;
    }
    if (response.isComplete()) {
      // If the buffer is full, surplus bytes may still be unread in the socket.
      onResponseComplete(bytes.hasRemaining() || bytes.limit() == bytes.capacity());
    } else if (response.isFatal()) {
      close(CloseReason.REFUSED_BY_HOST);
    }
    return true;
  }

  private void onResponseComplete(boolean surplus) {
    QueryResponse verified = verifier.verify(response);
    if (verified != null) {
      finish(verified, surplus || verifier.isCheckOutstanding());
    } else {
      awaitNextResponse();
    }
  }

  private void finish(QueryResponse verified, boolean surplus) {
    BackendCall completedCall = call;
    call = null;
    BackendResponse outcome = verified.toBackendResponse(completedCall.attempt == null);
    discardResponse();
    if (surplus) {
      close(CloseReason.SURPLUS);
    } else {
      backend.onConnectionFree(
          this); // before the outcome is reported: the next attempt may need this connection
    }
    backend.finishCall(completedCall, outcome);
  }

  /**
   * Reports the outcome of the interrupted call. If the connection fails before the last byte of
   * the request was passed to the socket, the request was not executed. After that it may have
   * been, unless the host has already reported the outcome. A malformed response proves nothing.
   */
  @Override
  protected void onClosed(CloseReason reason) {
    openDeadline.cancel();
    cancel(idleDeadline);
    BackendCall interruptedCall = call;
    call = null;
    BackendResponse outcome = null;
    if (interruptedCall != null) {
      boolean outcomeReceived =
          response.isOutcomeKnown()
              && !messageIncomplete
              && !malformed
              && reason != CloseReason.NO_MEMORY;
      QueryResponse verified = outcomeReceived ? verifier.verify(response) : null;
      outcome =
          verified != null
              ? verified.toBackendResponse(interruptedCall.attempt == null)
              : BackendResponse.of(
                  malformed
                      ? AttemptStatus.ERROR
                      : requestWritten ? AttemptStatus.RESET : AttemptStatus.CONNECT_FAILED);
    }
    discardResponse();
    backend.onConnectionClosed(this);
    if (interruptedCall != null) {
      backend.finishCall(interruptedCall, outcome);
    }
  }

  /**
   * Releases the memory of the response. Host connections are many and long-lived, so none keeps a
   * buffer of the size of its largest response.
   */
  private void discardResponse() {
    awaitNextResponse();
    reservation.reduceTo(0, network.budget());
  }

  private void awaitNextResponse() {
    cancel(responseDeadline);
    responseDeadline = null;
    response = new QueryResponse(verifier.allowsEmptyQueryResponse());
  }

  @Override
  protected String describe() {
    return host.id;
  }
}
