package shelffront.lab.emulator;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.function.Consumer;
import shelffront.lab.model.ReplicaSetModel;
import shelffront.lab.model.ReplicaSetModel.Answer;
import shelffront.lab.model.ReplicaSetModel.Kind;
import shelffront.lab.model.ReplicaSetModel.Query;
import shelffront.lab.transport.ConnectionHandler;
import shelffront.lab.transport.TransportConnection;
import shelffront.pg.Message;
import shelffront.pg.ProtocolException;
import shelffront.pg.Statement;

/** A box's side of a connection, on PostgreSQL's wire as far as the gateway speaks it. */
public final class EmulatedHostConnection extends ConnectionHandler {

  private final HostEnvironment hosting;
  private final ReplicaSetModel.Box box;
  private boolean started;

  public EmulatedHostConnection(
      HostEnvironment hosting, ReplicaSetModel.Box box, TransportConnection accepted) {
    this.hosting = hosting;
    this.box = box;
    on(accepted);
  }

  @Override
  protected void received(ByteBuffer bytes) {
    try {
      while (true) {
        Message m =
            started ? Message.next(bytes, "QX", Message.MAX_BYTES) : Message.nextStartup(bytes);
        if (m == null) {
          return;
        }
        if (!started) {
          started = true;
          box.handshake();
          hosting.clock().after(hosting.handshake(), this::welcome);
        } else if (m.type() == 'Q') {
          query(m.text(0));
        } else {
          close();
          return;
        }
      }
    } catch (ProtocolException e) {
      reset();
      hosting.malformed(box, e);
    }
  }

  private void welcome() {
    send(Message.authenticationOk());
    send(Message.readyForQuery());
  }

  private void query(String text) throws ProtocolException {
    if (hosting.silent(box)) {
      return;
    }
    if (text.startsWith("SHOW")) {
      tellsRole(box.isPrimary());
      row(report(), "SHOW");
      return;
    }
    Query q = hosting.query(Statement.parse(text.getBytes(ISO_8859_1)), text);
    Consumer<Answer> watch = hosting.arrived(box, end, q);
    box.submit(q, answer -> answer(q, watch, answer));
  }

  private String report() {
    long position = box.position();
    return String.format(
        Locale.ROOT,
        "x0=%d.%03d,x1=%d,queue=%d",
        position / 1_000_000,
        position / 1000 % 1000,
        box.isPrimary() ? 1 : 0,
        box.queued());
  }

  private void answer(Query q, Consumer<Answer> watch, Answer answer) {
    watch.accept(answer);
    if (isOver()) {
      return;
    }
    if (hosting.spoils(box)) {
      send(new byte[] {'D', 0x7f, 1, 2, 3, 4, 5, 6});
      return;
    }
    tellsRole(answer.primary());
    if (answer.kind() != Kind.OK) {
      send(
          Message.error(
              false,
              answer.kind() == Kind.FULL
                  ? "53300"
                  : answer.kind() == Kind.ERROR ? "XX000" : q.write() ? "25006" : "72000",
              "no",
              null));
      send(Message.parameterStatus("server_role", answer.primary() ? "writer" : "reader"));
      send(Message.readyForQuery());
      return;
    }
    // A commit is told rounded up, a copy's position rounded down: neither may look better than it
    // is.
    long told = q.write() ? (answer.position() + 999) / 1000 : answer.position() / 1000;
    if (q.write() || hosting.stamps()) {
      send(Message.parameterStatus("commit_clock", Long.toString(told)));
    }
    if (hosting.reports()) {
      send(Message.parameterStatus("usage", report()));
    }
    send(Message.parameterStatus("server_role", answer.primary() ? "writer" : "reader"));
    row(q.id(), q.write() ? "INSERT 0 1" : "SELECT 1");
  }

  /** What it says of its role counts once it is written. */
  private void tellsRole(boolean primary) {
    if (!primary && !isOver()) {
      hosting.tellsReplica(box, end);
    }
  }

  private void row(String value, String tag) {
    byte[] text = value.getBytes(ISO_8859_1);
    byte[] body = new byte[6 + text.length];
    body[1] = 1;
    body[4] = (byte) (text.length >> 8);
    body[5] = (byte) text.length;
    System.arraycopy(text, 0, body, 6, text.length);
    send(new Message('T', ("\0\1v\0" + "\0".repeat(18)).getBytes(ISO_8859_1)).bytes());
    send(new Message('D', body).bytes());
    send(new Message('C', (tag + "\0").getBytes(ISO_8859_1)).bytes());
    send(Message.readyForQuery());
  }

  @Override
  protected void ended(boolean reset) {
    hosting.left(box);
  }
}
