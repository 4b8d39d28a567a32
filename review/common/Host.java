package review.common;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A stand-in of one database host, as the protocol page describes it: it admits any user, answers
 * one query at a time on each connection, tells its role and position, and takes probes. A host that
 * hangs takes requests and answers none. One that is down resets its connections and refuses new
 * ones.
 */
public final class Host implements AutoCloseable {

  /** A request whose last byte has arrived. */
  public record Run(
      String id, String requestClass, String host, long arrivedMicros, String role, long position) {}

  /** How long a request of this id and class takes, in milliseconds. */
  public interface Work {
    long millis(String id, String requestClass);
  }

  public final String id;
  public final int group;
  public final int port;

  /** Every request that arrived whole, in order. */
  public final List<Run> runs = new CopyOnWriteArrayList<>();

  /** The ids of the requests that ran, one for each time. */
  public final Queue<String> executed = new ConcurrentLinkedQueue<>();

  public volatile boolean primary;
  public volatile boolean hung;

  /** The position of a replica whose log stands still; 0 while it follows its primary. */
  public volatile long frozenPosition;

  /** Whether answers carry a position and a load report. */
  public volatile boolean stamped;

  public volatile long startedMillis;

  /** Time that a probe takes: its work and the way there and back. */
  public volatile long probeMillis;

  /**
   * Share of the good answers that bring a second copy directly behind, when nothing else waits on
   * the connection.
   */
  public volatile double copyShare;

  /** Share of the requests that are turned away unseen, as with a full queue. */
  public volatile double refuseShare;

  /** Whether small writes are sent at once; the system's default is to hold them back. */
  public volatile boolean noDelay = true;

  private final Record record;
  private final Set<String> writeClasses;
  private final Work work;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket server;

  public Host(String id, int group, boolean primary, Set<String> writeClasses, Work work, Record record)
      throws IOException {
    this.id = id;
    this.group = group;
    this.primary = primary;
    this.writeClasses = writeClasses;
    this.work = work;
    this.record = record;
    server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    port = server.getLocalPort();
    accept();
  }

  private void accept() {
    ServerSocket listening = server;
    Thread thread =
        new Thread(
            () -> {
              try {
                while (true) {
                  Socket socket = listening.accept();
                  sockets.add(socket);
                  Thread each = new Thread(() -> serve(socket), id);
                  each.setDaemon(true);
                  each.start();
                }
              } catch (IOException ended) {
                // the host is down
              }
            },
            id);
    thread.setDaemon(true);
    thread.start();
  }

  /** The process ends: connections are reset and new ones refused. */
  public void kill() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
    sockets.clear();
    record.line("host %s is down", id);
  }

  /** The process starts again, at its old address, from where it stood. */
  public void restart() throws IOException {
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress("127.0.0.1", port), 512);
    startedMillis = Clock.micros() / 1000;
    accept();
    record.line("host %s is up again, position %d", id, position() / 1000);
  }

  /** The time up to which this host has applied every commit. */
  public long position() {
    return frozenPosition > 0 ? frozenPosition : Clock.micros() - (primary ? 0 : 10_000);
  }

  private String usage() {
    return String.format(
        Locale.ROOT, "x0=%.3f,x1=%d,inflight=0", Math.floor(position() / 1e3) / 1e3, primary ? 1 : 0);
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(noDelay);
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
      OutputStream out = socket.getOutputStream();
      in.skipNBytes(in.readInt() - 4);
      out.write(Wire.authenticated());
      out.write(Wire.ready());
      out.flush();
      while (true) {
        Wire.Message message = Wire.read(in);
        long arrived = Clock.micros();
        if (message.type() != 'Q') {
          return;
        }
        byte[] served = answer(message.body(), arrived, out);
        if (served != null
            && ThreadLocalRandom.current().nextDouble() < copyShare
            && in.available() == 0) {
          out.write(served);
          record.line(
              "host %s writes a second copy behind the answer to %s",
              id,
              Wire.parameter(message.body(), "id"));
        }
      }
    } catch (IOException | InterruptedException ended) {
      // the gateway has closed the connection, or the host is down
    } finally {
      sockets.remove(socket);
    }
  }

  /** Answers a query; returns the answer if it was good and not one to a probe. */
  private byte[] answer(byte[] statement, long arrived, OutputStream out)
      throws IOException, InterruptedException {
    if (Wire.text(statement, statement.length).startsWith("SHOW usage")) {
      waitWhileHung();
      Thread.sleep(probeMillis);
      out.write(join(Wire.row(Wire.text(usage()), "SHOW"), Wire.ready()));
      return null;
    }
    String requestId = Wire.parameter(statement, "id");
    String requestClass = Wire.parameter(statement, "c");
    boolean write = writeClasses.contains(requestClass);
    Run run =
        new Run(requestId, requestClass, id, arrived, primary ? "writer" : "reader", position());
    runs.add(run);
    record.at(
        arrived,
        "host %s gets %s %s d=%s as %s, position %d%s",
        id,
        requestClass,
        requestId,
        Wire.parameter(statement, "d"),
        run.role,
        run.position / 1000,
        hung ? ", hangs" : "");
    waitWhileHung();
    if (write && !primary) {
      reply(out, Wire.error("25006", "not the primary"), requestId, "miss", 0);
      return null;
    }
    if (ThreadLocalRandom.current().nextDouble() < refuseShare) {
      reply(out, Wire.error("53300", "the queue is full"), requestId, "full", 0);
      return null;
    }
    executed.add(requestId);
    byte[] value = Wire.text(id + "/" + requestId);
    long endMicros = arrived + work.millis(requestId, requestClass) * 1000;
    while (Clock.micros() < endMicros) {
      Thread.sleep(1);
      if (write && !primary) {
        reply(out, Wire.error("XX000", "lost the role while it held the write"), requestId, "error", 0);
        return null;
      }
    }
    waitWhileHung();
    return reply(
        out,
        Wire.row(value, write ? "INSERT 0 1" : "SELECT 1"),
        requestId,
        "ok",
        write ? Clock.micros() : 0);
  }

  private void waitWhileHung() throws InterruptedException {
    while (hung) {
      Thread.sleep(5);
    }
  }

  private byte[] reply(OutputStream out, byte[] body, String requestId, String outcome, long commit)
      throws IOException {
    byte[] parameters = Wire.parameter("server_role", primary ? "writer" : "reader");
    if (stamped || commit > 0) {
      long position = commit > 0 ? (commit + 999) / 1000 : position() / 1000;
      parameters = join(parameters, Wire.parameter("commit_clock", Long.toString(position)));
    }
    if (stamped) {
      parameters = join(parameters, Wire.parameter("usage", usage()));
    }
    record.line(
        "host %s answers %s: %s, as %s", id, requestId, outcome, primary ? "writer" : "reader");
    byte[] answer = join(join(body, parameters), Wire.ready());
    out.write(answer);
    return answer;
  }

  private static byte[] join(byte[] first, byte[] second) {
    byte[] both = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, both, first.length, second.length);
    return both;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
