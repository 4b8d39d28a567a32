package shelffront.lab.scale;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Connects to a real gateway in a loop, on a thread of its own. A connection to an existing tenant
 * must be accepted, and one to an unknown tenant must be rejected.
 */
final class ClientProbe {

  private static final int PROTOCOL_VERSION_3 = 196_608;
  private static final byte[] EMPTY_QUERY = {'Q', 0, 0, 0, 6, ';', 0};
  private static final int SOCKET_TIMEOUT_MILLIS = 5_000;
  private static final long PAUSE_MILLIS = 200;
  private static final long STARTUP_TIMEOUT_MILLIS =
      20_000; // startup time until the tenant is served

  private final String address;
  private final String tenant;
  private final Thread thread;
  private final List<String> failures = new ArrayList<>();
  private volatile boolean stopped;
  private volatile long served;

  ClientProbe(String address, String tenant) {
    this.address = address;
    this.tenant = tenant;
    thread = new Thread(this::run, "client-probe");
    thread.setDaemon(true);
    thread.start();
  }

  long served() {
    return served;
  }

  /** Stops the loop and returns the failures. */
  List<String> stop() {
    stopped = true;
    try {
      thread.join(2 * SOCKET_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return failures;
  }

  private void run() {
    try {
      long deadlineNanos =
          System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STARTUP_TIMEOUT_MILLIS);
      while (!isServed(address, tenant) && System.nanoTime() < deadlineNanos) {
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      }
      while (!stopped && failures.isEmpty()) {
        if (!isServed(address, tenant)) {
          failures.add("a client of tenant " + tenant + " was not served by gateway " + address);
        }
        if (isServed(address, "nobody")) {
          failures.add("a client of the unknown tenant nobody was served by gateway " + address);
        }
        served++;
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Connects to the database and sends an empty query; the caller reads the responses. */
  static Socket open(String address, String database) throws IOException {
    String[] hostAndPort = address.split(":");
    Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
    socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    byte[] parameters = ("user\0api\0database\0" + database + "\0\0").getBytes(UTF_8);
    socket
        .getOutputStream()
        .write(
            ByteBuffer.allocate(8 + parameters.length + EMPTY_QUERY.length)
                .putInt(8 + parameters.length)
                .putInt(PROTOCOL_VERSION_3)
                .put(parameters)
                .put(EMPTY_QUERY)
                .array());
    return socket;
  }

  /** Whether the gateway accepts a client of this tenant; false if the connection fails. */
  static boolean isServed(String address, String database) {
    try (Socket socket = open(address, database)) {
      DataInputStream input = new DataInputStream(socket.getInputStream());
      int type = input.readUnsignedByte();
      input.readInt();
      return type == 'R' && input.readInt() == 0; // AuthenticationOk: the tenants have no passwords
    } catch (IOException e) {
      return false;
    }
  }
}
