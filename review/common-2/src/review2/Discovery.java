package review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Discovery over HTTP/1.1, asked by watches. A watch begins with the changes after the version that
 * it names, or with the whole list where the changes since then are not kept any more. An empty line
 * follows every 2 s while nothing changes.
 */
final class Discovery implements AutoCloseable {

  private static final long HEARTBEAT_MILLIS = 2000;

  /** After a move, the old address closes its open connections this much later. */
  private static final long OLD_ADDRESS_MILLIS = 1500;

  private final Play play;
  private ServerSocket listener;
  private final Map<String, String> entries = new LinkedHashMap<>();
  private final TreeMap<Long, String> changes = new TreeMap<>();
  /** Open connections of the present address, and of former ones until they are closed. */
  private Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  private final Set<Socket> formerSockets = ConcurrentHashMap.newKeySet();
  private long revision;

  /** Versions before this one get the whole list. */
  private final long oldestKept;

  /** How long a call waits for its turn. */
  volatile double waitMillis;

  Discovery(Play play, long revision, long oldestKept) throws IOException {
    this.play = play;
    this.revision = revision;
    this.oldestKept = oldestKept;
    listen();
  }

  private void listen() throws IOException {
    ServerSocket next = new ServerSocket(0, 64, Play.loopback());
    Set<Socket> accepted = ConcurrentHashMap.newKeySet();
    listener = next;
    sockets = accepted;
    start(() -> accept(next, accepted));
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Moves to another address. The old one accepts no new connection and closes the open ones after
   * 1.5 s.
   */
  synchronized void move() throws IOException {
    ServerSocket old = listener;
    Set<Socket> open = sockets;
    formerSockets.addAll(open);
    listen();
    old.close();
    play.note("discovery", "moved to " + address());
    start(
        () -> {
          Play.sleep(OLD_ADDRESS_MILLIS);
          open.forEach(Discovery::closeQuietly);
        });
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed in any case.
    }
  }

  synchronized String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  static String entry(String id, String address, int cell, String phase, boolean primary) {
    return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\",\"locality\":\"ikeja-room\","
        + "\"flavor\":\"std-4core\",\"cell\":" + cell + ",\"phase\":\"" + phase
        + "\",\"size\":1.0,\"up_since_ms\":0,\"access\":\"" + (primary ? "writer" : "reader")
        + "\"}";
  }

  /** Adds or replaces an entry without a change of the version. */
  synchronized void list(String id, String entry) {
    entries.put(id, entry);
  }

  /** Changes an entry; open watches are told at once. */
  synchronized void change(String id, String entry) {
    revision++;
    entries.put(id, entry);
    changes.put(revision, entry);
    play.note("discovery", "has revision " + revision + ": " + entry);
    notifyAll();
  }

  synchronized String wholeList() {
    return "{\"revision\":" + revision + ",\"complete\":true,\"members\":["
        + String.join(",", entries.values()) + "]}";
  }

  private void accept(ServerSocket from, Set<Socket> accepted) {
    try {
      while (true) {
        Socket socket = from.accept();
        accepted.add(socket);
        start(() -> serve(socket, accepted));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  private void serve(Socket socket, Set<Socket> accepted) {
    String name = "call " + socket.getPort();
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String request = in.readLine();
      for (String line = request; line != null && !line.isEmpty(); line = in.readLine()) {
        continue;
      }
      if (request == null) {
        return;
      }
      play.note("discovery", name + ": " + request);
      Play.sleep(waitMillis);
      watch(name, Long.parseLong(request.replaceAll(".*from=([0-9]+).*", "$1")),
          socket.getOutputStream());
    } catch (IOException e) {
      play.note("discovery", name + " ended: " + e.getMessage());
    } finally {
      accepted.remove(socket);
      formerSockets.remove(socket);
    }
  }

  private void watch(String name, long from, OutputStream out) throws IOException {
    out.write(
        ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    long told = from;
    boolean first = true;
    while (true) {
      String line;
      synchronized (this) {
        if (first && from < oldestKept) {
          line = wholeList();
        } else if (revision > told) {
          line = "{\"revision\":" + revision + ",\"complete\":false,\"members\":["
              + String.join(",", changes.tailMap(told, false).values()) + "]}";
        } else if (first) {
          line = "";
        } else {
          waitForChange();
          line = revision > told ? null : "";
        }
        if (line != null && !line.isEmpty()) {
          told = revision;
        }
      }
      if (line != null) {
        first = false;
        byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
        if (!line.isEmpty()) {
          play.note("discovery",
              name + " was written revision " + told + ", " + bytes.length + " bytes");
        }
      }
    }
  }

  private void waitForChange() throws IOException {
    try {
      wait(HEARTBEAT_MILLIS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    sockets.forEach(Discovery::closeQuietly);
    formerSockets.forEach(Discovery::closeQuietly);
  }
}
