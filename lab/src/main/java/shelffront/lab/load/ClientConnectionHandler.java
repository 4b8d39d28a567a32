package shelffront.lab.load;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import shelffront.lab.transport.ConnectionHandler;
import shelffront.lab.transport.Transport;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;

/**
 * A client connection to a gateway. It has at most one request in flight, and resets the connection
 * if the response does not arrive by the time the caller gives. Used on the transport's thread
 * only.
 *
 * @param <R> the listener's representation of a request
 */
public final class ClientConnectionHandler<R> extends ConnectionHandler {

  /** Receives the events of a connection, on the transport's thread. */
  public interface Listener<R> {

    /** The gateway has accepted the startup; the connection is ready for queries. */
    default void ready(ClientConnectionHandler<R> connection) {}

    /**
     * A response has arrived.
     *
     * @param value the returned value; may be null if the response is an error
     * @param code the SQLSTATE of an error response, else null
     * @param retryAfter Retry-After of an error response in microseconds, or 0
     */
    void answered(
        ClientConnectionHandler<R> connection,
        R request,
        String value,
        String code,
        long retryAfter);

    /** No response arrived in time; the connection has been reset. */
    void timedOut(ClientConnectionHandler<R> connection, R request);

    /**
     * The connection has ended.
     *
     * @param request the request in flight, or null
     * @param reset whether the connection was reset rather than closed
     */
    void disconnected(ClientConnectionHandler<R> connection, R request, boolean reset);

    /** The gateway sent something that violates the protocol. */
    void malformedResponse(String why);
  }

  private static final int CLEARTEXT_PASSWORD_CODE = 3;

  private final Transport transport;
  private final Listener<R> listener;
  private final String database;
  private final String password;
  private R currentRequest;
  private String value;
  private String code;
  private long retryAfterMicros;
  private boolean ready;
  private boolean ignoresUnmatchedResponses;

  /** Connects as a user to a database; the password is null if the gateway requests none. */
  public ClientConnectionHandler(
      Transport transport,
      InetSocketAddress gateway,
      String user,
      String database,
      String password,
      Listener<R> caller) {
    this.transport = transport;
    this.listener = caller;
    this.database = database;
    this.password = password;
    connection = transport.connect(gateway, this);
    send(Message.startup(user, database));
  }

  public boolean isFree() {
    return !isClosed() && !isStalled() && currentRequest == null;
  }

  public String database() {
    return database;
  }

  /** Returns whether the gateway has accepted the startup. */
  public boolean isReady() {
    return ready;
  }

  /** Returns the request in flight, or null. */
  public R currentRequest() {
    return currentRequest;
  }

  /**
   * Sends a request, which may directly follow the startup message.
   *
   * @param giveUpAt time on the transport's clock at which the connection is reset if there is no
   *     response, in microseconds
   */
  public void send(R request, byte[] statement, long giveUpAt) {
    currentRequest = request;
    value = null;
    code = null;
    retryAfterMicros = 0;
    send(Message.query(statement));
    transport
        .clock()
        .at(
            giveUpAt,
            () -> {
              if (currentRequest == request) {
                currentRequest = null;
                reset();
                listener.timedOut(this, request);
              }
            });
  }

  /** Closes the connection and abandons the request in flight, if any, without an event for it. */
  public void hangUp() {
    currentRequest = null;
    close();
  }

  @Override
  protected void received(ByteBuffer bytes) {
    try {
      for (Message message = next(bytes); message != null && !isClosed(); message = next(bytes)) {
        handle(message);
      }
    } catch (ProtocolException e) {
      listener.malformedResponse(
          "a client cannot parse a message of the gateway: " + e.getMessage());
      reset();
      ended(true);
    }
  }

  private static Message next(ByteBuffer bytes) throws ProtocolException {
    return Message.readNext(bytes, "RSKZTDCEIN", Message.MAX_BYTES);
  }

  private void handle(Message message) throws ProtocolException {
    switch (message.type()) {
      case 'R' -> {
        if (message.code() == CLEARTEXT_PASSWORD_CODE && password != null) {
          send(new Message('p', (password + "\0").getBytes(ISO_8859_1)).bytes());
        }
      }
      case 'D' -> value = message.singleColumnValue();
      case 'E' -> {
        var fields = message.errorFields();
        code = fields.get('C');
        retryAfterMicros = fields.containsKey('D') ? Long.parseLong(fields.get('D')) * 1000 : 0;
        if ("FATAL".equals(fields.get('S'))) {
          if (currentRequest == null) {
            code = null; // announces the end of the connection; there is no request to fail
          }
          finishResponse();
        }
      }
      case 'Z' -> {
        if (ready) {
          finishResponse();
        } else {
          ready = true;
          listener.ready(this);
        }
      }
      default -> {}
    }
  }

  private void finishResponse() {
    if (value == null && code == null) {
      return;
    }
    R done = currentRequest;
    currentRequest = null;
    if (done == null) {
      if (!ignoresUnmatchedResponses) {
        listener.malformedResponse("response without a request: value " + value + ", code " + code);
      }
      return;
    }
    String got = value;
    String error = code;
    value = null;
    code = null;
    listener.answered(this, done, got, error, retryAfterMicros);
  }

  /** Ignores responses without a request from now on instead of reporting them as malformed. */
  public void expectNoAnswer() {
    ignoresUnmatchedResponses = true;
  }

  @Override
  protected void ended(boolean reset) {
    R lost = currentRequest;
    currentRequest = null;
    listener.disconnected(this, lost, reset);
  }

  /** Returns the statement of a request, without a required position. */
  public static byte[] statement(
      String id, String type, long waitMs, String key, int set, String session, boolean write) {
    return statement(id, type, waitMs, key, set, session, write, 0);
  }

  /**
   * Returns the statement of a request.
   *
   * @param after position of the session's last write in microseconds, which the statement carries
   *     rounded up to milliseconds; 0 for a statement without a required position
   */
  public static byte[] statement(
      String id,
      String type,
      long waitMs,
      String key,
      int set,
      String session,
      boolean write,
      long after) {
    String head =
        "/* id="
            + id
            + ",c="
            + type
            + ",d="
            + waitMs
            + (key == null ? "" : ",k=" + key)
            + ",cluster="
            + set
            + (after > 0 ? ",after=" + (after + 999) / 1000 : "")
            + " */ ";
    return (head
            + (write
                ? "INSERT INTO rows (handle, blob) VALUES ('" + session + "', 'x') RETURNING blob"
                : "SELECT blob FROM rows WHERE handle = '" + session + "'"))
        .getBytes(ISO_8859_1);
  }
}
