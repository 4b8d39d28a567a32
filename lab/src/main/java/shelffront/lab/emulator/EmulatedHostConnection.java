package shelffront.lab.emulator;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.function.Consumer;
import shelffront.lab.model.ReplicaSetModel;
import shelffront.lab.model.ReplicaSetModel.Answer;
import shelffront.lab.model.ReplicaSetModel.AnswerKind;
import shelffront.lab.model.ReplicaSetModel.Query;
import shelffront.lab.transport.ConnectionHandler;
import shelffront.lab.transport.TransportConnection;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;
import shelffront.pg.Statement;

/** The host side of a connection: the part of the PostgreSQL protocol that the gateway uses. */
public final class EmulatedHostConnection extends ConnectionHandler {

  private static final long MICROS_PER_MILLI = 1_000;

  /** A DataRow message whose length field does not match its contents. */
  private static final byte[] MALFORMED_ROW = {'D', 0x7f, 1, 2, 3, 4, 5, 6};

  /** Describes one column named v; the gateway ignores the remaining fields, which are zero. */
  private static final byte[] ROW_DESCRIPTION = ("\0\1v\0" + "\0".repeat(18)).getBytes(ISO_8859_1);

  private final HostEnvironment environment;
  private final ReplicaSetModel.Host host;
  private boolean started;

  /** Serves an accepted connection on behalf of a host. */
  public EmulatedHostConnection(
      HostEnvironment environment, ReplicaSetModel.Host host, TransportConnection accepted) {
    this.environment = environment;
    this.host = host;
    accept(accepted);
  }

  @Override
  protected void received(ByteBuffer bytes) {
    try {
      while (true) {
        Message message =
            started ? Message.readNext(bytes, "QX", Message.MAX_BYTES) : Message.readStartup(bytes);
        if (message == null) {
          return;
        }
        if (!started) {
          started = true;
          host.handshake();
          environment.clock().after(environment.handshakeMicros(), this::completeStartup);
        } else if (message.type() == 'Q') {
          query(message.stringAt(0));
        } else {
          close();
          return;
        }
      }
    } catch (ProtocolException e) {
      reset();
      environment.malformedRequest(host, e);
    }
  }

  private void completeStartup() {
    send(Message.authenticationOk());
    send(Message.readyForQuery());
  }

  private void query(String text) throws ProtocolException {
    if (environment.isSilent(host)) {
      return;
    }
    if (text.isEmpty()) {
      send(Message.emptyQueryResponse());
      send(Message.readyForQuery());
      return;
    }
    if (text.startsWith("SHOW")) {
      reportRole(host.isPrimary());
      sendRow(loadReport(), "SHOW");
      return;
    }
    Query query = environment.parse(Statement.parse(text.getBytes(ISO_8859_1)), text);
    Consumer<Answer> watch = environment.attemptArrived(host, connection, query);
    host.submit(query, answer -> answer(query, watch, answer));
  }

  private String loadReport() {
    long position = host.positionMicros();
    return String.format(
        Locale.ROOT,
        "x0=%d.%03d,x1=%d,queue=%d",
        position / 1_000_000,
        position / 1000 % 1000,
        host.isPrimary() ? 1 : 0,
        host.queued());
  }

  private void answer(Query query, Consumer<Answer> watch, Answer answer) {
    watch.accept(answer);
    if (isClosed()) {
      return;
    }
    if (environment.corruptsAnswer(host)) {
      send(MALFORMED_ROW);
      return;
    }
    reportRole(answer.primary());
    if (answer.kind() != AnswerKind.OK) {
      send(
          Message.error(
              false,
              answer.kind() == AnswerKind.FULL
                  ? "53300"
                  : answer.kind() == AnswerKind.ERROR ? "XX000" : query.write() ? "25006" : "72000",
              "no",
              null));
      send(Message.parameterStatus("server_role", answer.primary() ? "writer" : "reader"));
      send(Message.readyForQuery());
      return;
    }
    // Commit positions are rounded up and read positions down to whole milliseconds, so that a
    // replica never appears to have applied a commit that it has not.
    long positionMillis =
        query.write()
            ? (answer.positionMicros() + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI
            : answer.positionMicros() / MICROS_PER_MILLI;
    if (query.write() || environment.sendsPositions()) {
      send(Message.parameterStatus("commit_clock", Long.toString(positionMillis)));
    }
    if (environment.sendsLoadReports()) {
      send(Message.parameterStatus("usage", loadReport()));
    }
    send(Message.parameterStatus("server_role", answer.primary() ? "writer" : "reader"));
    sendRow(query.id(), query.write() ? "INSERT 0 1" : "SELECT 1");
  }

  /** Notifies the environment when the host is about to send that it is a replica. */
  private void reportRole(boolean primary) {
    if (!primary && !isClosed()) {
      environment.replicaRoleSent(host, connection);
    }
  }

  private void sendRow(String value, String tag) {
    byte[] text = value.getBytes(ISO_8859_1);
    byte[] body =
        ByteBuffer.allocate(Short.BYTES + Integer.BYTES + text.length)
            .putShort((short) 1) // columns
            .putInt(text.length)
            .put(text)
            .array();
    send(new Message('T', ROW_DESCRIPTION).bytes());
    send(new Message('D', body).bytes());
    send(new Message('C', (tag + "\0").getBytes(ISO_8859_1)).bytes());
    send(Message.readyForQuery());
  }

  @Override
  protected void ended(boolean reset) {
    environment.connectionEnded(host);
  }
}
