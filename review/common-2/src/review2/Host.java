package review2;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A database host: a primary or a replica that is current. It serves one request at a time on each
 * connection, in the order of their arrival, and keeps every attempt that has arrived whole.
 */
final class Host implements AutoCloseable {

  /** An attempt, with the time at which its last byte had arrived. */
  record Attempt(String host, String id, String requestClass, int leftMillis, double atMillis) {}

  /** Writes the answer to an attempt: how long its work takes, and in which pieces it comes. */
  interface Answerer {
    void answer(Host host, Attempt attempt, String statement, OutputStream out) throws IOException;
  }

  private final Play play;
  final String id;
  final boolean primary;
  private final ServerSocket listener;
  private final Answerer answerer;

  /** The host that now has the address at which this one was started. */
  private volatile Host owner;

  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final List<Attempt> attempts = new ArrayList<>();

  Host(Play play, String id, boolean primary, Answerer answerer) throws IOException {
    this(play, id, primary, new ServerSocket(0, 256, Play.loopback()), answerer);
    start(this::accept);
  }

  private Host(
      Play play, String id, boolean primary, ServerSocket listener, Answerer answerer) {
    this.play = play;
    this.listener = listener;
    this.id = id;
    this.primary = primary;
    this.answerer = answerer;
    owner = this;
  }

  /** Gives the address of this host to another one. The connections of this host end. */
  Host giveAddressTo(String otherId) {
    Host other = new Host(play, otherId, primary, listener, answerer);
    owner = other;
    sockets.forEach(Host::closeQuietly);
    return other;
  }

  /** An answerer whose work takes this long, with a short value. */
  static Answerer working(double millis) {
    return (host, attempt, statement, out) -> {
      Play.sleep(millis);
      out.write(host.served(statement, new byte[] {1, 2, 3}));
    };
  }

  int port() {
    return listener.getLocalPort();
  }

  String address() {
    return "127.0.0.1:" + port();
  }

  /** All attempts so far. */
  List<Attempt> attempts() {
    synchronized (attempts) {
      return new ArrayList<>(attempts);
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        Host present = owner;
        present.sockets.add(socket);
        start(() -> present.serve(socket));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      DataInputStream in =
          new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 65536));
      OutputStream out = socket.getOutputStream();
      Pg.readStartup(in);
      out.write(join(Pg.message('R', new byte[4]), role(), Pg.ready()));
      for (Pg.Message message = Pg.read(in); message != null; message = Pg.read(in)) {
        if (message.type() == 'X') {
          return;
        }
        answer(new String(message.body(), 0, message.body().length - 1,
            StandardCharsets.ISO_8859_1), out);
      }
    } catch (IOException e) {
      play.note(id, "connection ended: " + e.getMessage());
    } finally {
      sockets.remove(socket);
    }
  }

  private void answer(String statement, OutputStream out) throws IOException {
    if (statement.isBlank()) {
      out.write(join(Pg.message('I', new byte[0]), Pg.ready()));
    } else if (statement.equals("SHOW usage")) {
      double seconds = System.currentTimeMillis() / 1e3;
      String report =
          String.format(Locale.ROOT, "x0=%.3f,x1=%d,backlog=0", seconds, primary ? 1 : 0);
      byte[] value = report.getBytes(StandardCharsets.UTF_8);
      out.write(join(Pg.row(value, "SHOW"), role(), Pg.ready()));
    } else {
      Attempt attempt =
          new Attempt(
              id,
              parameter(statement, "id"),
              parameter(statement, "c"),
              Integer.parseInt(parameter(statement, "d")),
              play.now());
      synchronized (attempts) {
        attempts.add(attempt);
      }
      if (parameter(statement, "c").equals("map-write") && !primary) {
        out.write(join(Pg.error("25006", "this is no primary"), role(), Pg.ready()));
      } else {
        answerer.answer(this, attempt, statement, out);
      }
    }
  }

  /** The whole answer to a served statement. */
  byte[] served(String statement, byte[] value) {
    boolean write = parameter(statement, "c").equals("map-write");
    byte[] commit =
        write
            ? Pg.parameter("commit_clock", Long.toString(System.currentTimeMillis()))
            : new byte[0];
    return join(Pg.row(value, write ? "INSERT 0 1" : "SELECT 1"), role(), commit, Pg.ready());
  }

  private byte[] role() {
    return Pg.parameter("server_role", primary ? "writer" : "reader");
  }

  static byte[] join(byte[]... parts) {
    java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
    for (byte[] part : parts) {
      out.writeBytes(part);
    }
    return out.toByteArray();
  }

  /** A value of the comment before a statement; empty if it is absent. */
  static String parameter(String statement, String name) {
    String comment = statement.substring(2, Math.max(2, statement.indexOf("*/")));
    for (String part : comment.split(",")) {
      String[] pair = part.strip().split("=", 2);
      if (pair[0].equals(name)) {
        return pair[1].strip();
      }
    }
    return "";
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed in any case.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    sockets.forEach(Host::closeQuietly);
  }
}
