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
 * Clients of a real gateway: again and again one connects to a tenant that the gateway serves, and
 * has to be served; and one to a name that nobody has, and has to be refused.
 */
final class ClientProbe {

  private static final int PROTOCOL_3 = 196_608;
  private static final byte[] EMPTY_QUERY = {'Q', 0, 0, 0, 6, ';', 0};
  private static final int TIMEOUT_MILLIS = 5_000;
  private static final long PAUSE_MILLIS = 200;
  private static final long FIRST_MILLIS =
      20_000; // within which the tenant has to be found at first

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

  /** Ends it; gives what broke. */
  List<String> stop() {
    stopped = true;
    try {
      thread.join(2 * TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return failures;
  }

  private void run() {
    try {
      long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FIRST_MILLIS);
      while (!isServed(address, tenant) && System.nanoTime() < until) {
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      }
      while (!stopped && failures.isEmpty()) {
        if (!isServed(address, tenant)) {
          failures.add("a client of " + tenant + " was not served by " + address);
        }
        if (isServed(address, "nobody")) {
          failures.add("a client of nobody was served by " + address);
        }
        served++;
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Connects, names a database and asks nothing, as clients do first; the answers are to be read.
   */
  static Socket open(String address, String database) throws IOException {
    String[] hostAndPort = address.split(":");
    Socket socket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
    socket.setSoTimeout(TIMEOUT_MILLIS);
    byte[] parameters = ("user\0api\0database\0" + database + "\0\0").getBytes(UTF_8);
    socket
        .getOutputStream()
        .write(
            ByteBuffer.allocate(8 + parameters.length + EMPTY_QUERY.length)
                .putInt(8 + parameters.length)
                .putInt(PROTOCOL_3)
                .put(parameters)
                .put(EMPTY_QUERY)
                .array());
    return socket;
  }

  /** Whether the gateway lets a client of this tenant in. */
  static boolean isServed(String address, String database) {
    try (Socket socket = open(address, database)) {
      DataInputStream input = new DataInputStream(socket.getInputStream());
      int type = input.readUnsignedByte();
      input.readInt();
      return type == 'R' && input.readInt() == 0; // AuthenticationOk: nobody has a password here
    } catch (IOException e) {
      return false;
    }
  }
}
