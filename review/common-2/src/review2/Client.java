package review2;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;

/** A client's connection. */
final class Client implements AutoCloseable {

  /** An answer before ReadyForQuery: served, refused, failed, or the end of the connection. */
  record Answer(String kind, String code, int valueBytes, double atMillis) {
    @Override
    public String toString() {
      return kind + (code.isEmpty() ? "" : " " + code)
          + (valueBytes < 0 ? "" : ", value of " + valueBytes + " bytes");
    }
  }

  private final Play play;
  final Socket socket;
  final OutputStream out;
  private final DataInputStream in;

  /** Connects and completes the startup. */
  Client(Play play, Target gateway) throws IOException {
    this(play, gateway, "ledger");
  }

  /** Connects to a database, which names the tenant where there are many. */
  Client(Play play, Target gateway, String database) throws IOException {
    this.play = play;
    socket = new Socket(Play.loopback(), gateway.port());
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(10_000);
    out = socket.getOutputStream();
    in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 65536));
    out.write(Pg.startup(database));
    Pg.Message message = Pg.read(in);
    while (message != null && message.type() != 'Z') {
      if (message.type() == 'E') {
        throw new IOException("startup refused: " + message.field('C'));
      }
      message = Pg.read(in);
    }
  }

  static String newId() {
    byte[] id = new byte[8];
    ThreadLocalRandom.current().nextBytes(id);
    return HexFormat.of().formatHex(id);
  }

  static String read(String id, String requestClass, int millis, int cell, String key) {
    return "/* id=" + id + ",c=" + requestClass + ",d=" + millis + ",cluster=" + cell
        + " */ SELECT blob FROM rows WHERE handle = '" + key + "'";
  }

  static String write(String id, int millis, int cell, String key, byte[] value) {
    return "/* id=" + id + ",c=map-write,d=" + millis + ",k=" + newId() + ",cluster=" + cell
        + " */ INSERT INTO rows (handle, blob) VALUES ('" + key + "', '\\x"
        + HexFormat.of().formatHex(value) + "') RETURNING blob";
  }

  /** Reads the answer to the next command. */
  Answer answer() {
    String kind = "";
    String code = "";
    int valueBytes = -1;
    try {
      for (Pg.Message message = Pg.read(in); message != null; message = Pg.read(in)) {
        switch (message.type()) {
          case 'D' -> valueBytes = message.body().length - 6;
          case 'C' -> kind = "served";
          case 'E' -> {
            code = message.field('C');
            kind = code.equals("53300") || code.equals("57P03") ? "refused" : "failed";
            if ("FATAL".equals(message.field('S'))) {
              return new Answer(kind, code, valueBytes, play.now());
            }
          }
          case 'Z' -> {
            return new Answer(kind, code, valueBytes, play.now());
          }
          default -> {}
        }
      }
      return new Answer("ended", kind, valueBytes, play.now());
    } catch (SocketTimeoutException e) {
      return new Answer("nothing", "", valueBytes, play.now());
    } catch (IOException e) {
      return new Answer("reset", e.getMessage(), valueBytes, play.now());
    }
  }

  /** Sends a statement and reads its answer. */
  Answer call(String statement) throws IOException {
    out.write(Pg.query(statement));
    return answer();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
