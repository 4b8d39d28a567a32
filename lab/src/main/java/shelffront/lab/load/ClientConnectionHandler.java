package shelffront.lab.load;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import shelffront.lab.transport.ConnectionHandler;
import shelffront.lab.transport.Transport;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;

/**
 * A client's connection: one request at a time, whose answer it waits for until its time is up.
 *
 * @param <R> what stands for a request with those whose connection it is
 */
public final class ClientConnectionHandler<R> extends ConnectionHandler {

  /** Whose connection it is. */
  public interface Listener<R> {

    /** It has been let in. */
    default void ready(ClientConnectionHandler<R> connection) {}

    /**
     * An answer: a code where it is an error, the value else; when it was told to come back, in
     * microseconds.
     */
    void answered(
        ClientConnectionHandler<R> connection,
        R request,
        String value,
        String code,
        long retryAfter);

    /** Its time is up and nothing has come; the connection was given up. */
    void timedOut(ClientConnectionHandler<R> connection, R request);

    /** The connection has ended, with a request open or null. */
    void disconnected(ClientConnectionHandler<R> connection, R request, boolean reset);

    /** What no gateway may send. */
    void malformedResponse(String why);
  }

  private static final int CLEARTEXT_PASSWORD = 3;

  private final Transport transport;
  private final Listener<R> listener;
  private final String database;
  private final String password;
  private R currentRequest;
  private String value;
  private String code;
  private long retryAfterMicros;
  private boolean ready;
  private boolean expectsNoAnswer;

  /** Connects as a user to a database; the password is null where none is to be asked for. */
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

  /** Whether it has been let in. */
  public boolean isReady() {
    return ready;
  }

  /** What it waits for, or null. */
  public R currentRequest() {
    return currentRequest;
  }

  /** Sends a request; it may go right behind the startup. */
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

  /** Hangs up, whatever it waits for: nobody waits for that any more. */
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
      listener.malformedResponse("a client was sent what it can't read: " + e.getMessage());
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
        if (message.code() == CLEARTEXT_PASSWORD && password != null) {
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
            code = null; // a word before the end, to nobody's question
          }
          finishAnswer();
        }
      }
      case 'Z' -> {
        if (ready) {
          finishAnswer();
        } else {
          ready = true;
          listener.ready(this);
        }
      }
      default -> {}
    }
  }

  private void finishAnswer() {
    if (value == null && code == null) {
      return;
    }
    R done = currentRequest;
    currentRequest = null;
    if (done == null) {
      if (!expectsNoAnswer) {
        listener.malformedResponse("an answer to nothing: " + value + code);
      }
      return;
    }
    String got = value;
    String error = code;
    value = null;
    code = null;
    listener.answered(this, done, got, error, retryAfterMicros);
  }

  /** What it is told from now on is no answer to anything. */
  public void expectNoAnswer() {
    expectsNoAnswer = true;
  }

  @Override
  protected void ended(boolean reset) {
    R lost = currentRequest;
    currentRequest = null;
    listener.disconnected(this, lost, reset);
  }

  /** The statement of a request, as clients write it. */
  public static byte[] statement(
      String id, String type, long waitMs, String key, int set, String session, boolean write) {
    return statement(id, type, waitMs, key, set, session, write, 0);
  }

  /**
   * The same with the position of the session's last write, in microseconds, rounded up; 0 where
   * none is carried.
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
