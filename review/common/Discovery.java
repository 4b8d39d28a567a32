package review.common;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * A stand-in of discovery: the whole list on request, and watches that carry changes, with an empty
 * line every 2 s while nothing changes.
 */
public final class Discovery implements AutoCloseable {

  /** One entry of the list. */
  public record Entry(
      String id, int port, String zone, String kind, int group, String phase, long startedMillis, boolean writer) {

    public Entry with(String newPhase, long newStartedMillis) {
      return new Entry(id, port, zone, kind, group, newPhase, newStartedMillis, writer);
    }

    String json() {
      return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + port + "\",\"locality\":\"" + zone
          + "\",\"flavor\":\"" + kind + "\",\"cell\":" + group + ",\"phase\":\"" + phase
          + "\",\"size\":1.0,\"up_since_ms\":" + startedMillis + ",\"access\":\""
          + (writer ? "writer" : "reader") + "\"}";
    }
  }

  public final int port;
  private final ServerSocket server;
  private final Record record;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final TreeMap<Long, Entry> changes = new TreeMap<>();
  private final Set<Socket> watches = ConcurrentHashMap.newKeySet();
  private long revision = 41;

  public Discovery(Record record) throws IOException {
    this.record = record;
    server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    port = server.getLocalPort();
    start(this::accept);
    start(this::keepAlive);
  }

  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  private static void start(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException ended) {
                // closed
              }
            },
            "discovery");
    thread.setDaemon(true);
    thread.start();
  }

  /** Adds an entry before the test begins. */
  public synchronized void add(Entry entry) {
    entries.put(entry.id, entry);
  }

  public synchronized Entry entry(String id) {
    return entries.get(id);
  }

  /** The whole list in discovery's form, also that of a gateway's last known one. */
  public synchronized String list() {
    return json(true, List.copyOf(entries.values()));
  }

  private String json(boolean complete, List<Entry> members) {
    return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":["
        + members.stream().map(Entry::json).collect(Collectors.joining(",")) + "]}";
  }

  /** Tells a change on every watch. */
  public synchronized void publish(Entry entry) throws IOException {
    revision++;
    if (entry.phase.equals("Gone")) {
      entries.remove(entry.id);
    } else {
      entries.put(entry.id, entry);
    }
    changes.put(revision, entry);
    record.line("discovery tells %s %s up_since_ms=%d", entry.id, entry.phase, entry.startedMillis);
    for (Socket watch : watches) {
      chunk(watch, json(false, List.of(entry)) + "\n");
    }
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = server.accept();
      start(() -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
    String request = in.readLine();
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      continue;
    }
    OutputStream out = socket.getOutputStream();
    int from = request.indexOf("from=");
    synchronized (this) {
      if (from < 0) {
        byte[] body = Wire.text(list());
        out.write(Wire.text("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
        out.write(body);
        socket.close();
        return;
      }
      long known = Long.parseLong(request.substring(from + 5, request.indexOf(' ', from)));
      out.write(Wire.text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
      chunk(
          socket,
          (known == 0 || known > revision
                  ? list()
                  : json(false, List.copyOf(changes.tailMap(known, false).values())))
              + "\n");
      watches.add(socket);
    }
    record.line("discovery: a gateway watches from %d", known(request, from));
  }

  private static long known(String request, int from) {
    return Long.parseLong(request.substring(from + 5, request.indexOf(' ', from)));
  }

  private void keepAlive() throws InterruptedException, IOException {
    while (true) {
      Thread.sleep(2000);
      synchronized (this) {
        for (Socket watch : watches) {
          chunk(watch, "\n");
        }
      }
    }
  }

  private void chunk(Socket socket, String text) {
    try {
      socket
          .getOutputStream()
          .write(Wire.text(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
    } catch (IOException ended) {
      watches.remove(socket);
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket watch : watches) {
      watch.close();
    }
  }
}
