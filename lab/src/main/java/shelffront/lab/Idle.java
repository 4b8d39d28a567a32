package shelffront.lab;

import static java.nio.charset.StandardCharsets.US_ASCII;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import shelffront.lab.load.TransparentProxy;
import shelffront.multitenant.MultiTenantConfig;
import shelffront.multitenant.MultiTenantGateway;
import shelffront.pg.Message;
import shelffront.tenant.TenantSpecCodec;

/**
 * Measures the heap that an idle client connection takes at the gateway and at a transparent proxy.
 */
@Command(
    name = "idle",
    mixinStandardHelpOptions = true,
    description =
        "Measures the heap of an idle client connection at the gateway and at a transparent proxy.")
final class Idle implements Callable<Integer> {

  private static final int ARRIVAL_TIMEOUT_S = 30;

  @Option(
      names = "--connections",
      defaultValue = "2000",
      description = "number of connections (${DEFAULT-VALUE})")
  private int count;

  /**
   * A server that only accepts connections. The heap of its connections and their clients is the
   * baseline that is subtracted from the other measurements.
   */
  private static final class AcceptingServer implements AutoCloseable {

    private final ServerSocketChannel listener =
        ServerSocketChannel.open()
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
    private final List<SocketChannel> accepted = new CopyOnWriteArrayList<>();
    private final Semaphore acceptedCount = new Semaphore(0);

    private AcceptingServer() throws IOException {
      Thread thread = new Thread(this::accept, "sink");
      thread.setDaemon(true);
      thread.start();
    }

    private void accept() {
      try {
        while (true) {
          accepted.add(listener.accept());
          acceptedCount.release();
        }
      } catch (ClosedChannelException e) {
        return; // closed by close()
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    private InetSocketAddress address() throws IOException {
      return (InetSocketAddress) listener.getLocalAddress();
    }

    private void await(int connections) throws InterruptedException {
      if (!acceptedCount.tryAcquire(connections, ARRIVAL_TIMEOUT_S, TimeUnit.SECONDS)) {
        throw new IllegalStateException(
            "the server accepted "
                + accepted.size()
                + " of "
                + connections
                + " connections within "
                + ARRIVAL_TIMEOUT_S
                + " s");
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
      for (SocketChannel each : accepted) {
        each.close();
      }
    }
  }

  @Override
  public Integer call() throws Exception {
    measure(50); // compiles the code and fills the pools before measuring
    System.out.println(
        "| idle connections | heap each at the relay, two sockets | at the gateway, one socket |");
    System.out.println("|---|---|---|");
    System.out.println(measure(count));
    return 0;
  }

  private static String measure(int connections) throws Exception {
    double baseline;
    try (AcceptingServer sink = new AcceptingServer()) {
      baseline =
          heapBytesPerConnection(sink.address(), connections, false, () -> sink.await(connections));
    }
    double relayed;
    try (AcceptingServer sink = new AcceptingServer();
        TransparentProxy proxy = new TransparentProxy(sink.address())) {
      relayed =
          heapBytesPerConnection(proxy.address(), connections, false, () -> sink.await(connections))
              - baseline;
    }
    ObjectNode config =
        TenantSpecCodec.JSON
            .createObjectNode()
            .put("listen", "127.0.0.1:0")
            .put("sockets", 2 * connections + 200);
    ObjectNode tenant = Scale.tenant("t0", 1);
    tenant.with("limits").put("clientConnections", connections + 10);
    config.putArray("tenants").add(tenant);
    MultiTenantGateway gateway = new MultiTenantGateway(MultiTenantConfig.read(config), line -> {});
    Thread eventLoopThread = gateway.start();
    double served =
        heapBytesPerConnection(
                new InetSocketAddress(
                    InetAddress.getLoopbackAddress(), gateway.address().getPort()),
                connections,
                true,
                () -> {})
            - baseline / 2;
    gateway.drain();
    eventLoopThread.join();
    return String.format(
        Locale.ROOT, "| %d | %.0f bytes | %.0f bytes |", connections, relayed, served);
  }

  private interface Arrival {

    void await() throws Exception;
  }

  /**
   * Returns the heap in bytes per connection, counting both ends.
   *
   * @param startsSession whether each client starts a session and sends an empty query
   * @param arrival waits until the other end has accepted all connections
   */
  private static double heapBytesPerConnection(
      InetSocketAddress address, int connections, boolean startsSession, Arrival arrival)
      throws Exception {
    List<SocketChannel> clients = new ArrayList<>(connections);
    byte[] startup = Message.startup("api", "t0");
    // The gateway closes a connection whose first query does not arrive within its timeout.
    byte[] empty = Message.query(";".getBytes(US_ASCII));
    ByteBuffer buffer = ByteBuffer.allocateDirect(1024);
    long before = Scale.usedHeapBytes();
    try {
      for (int i = 0; i < connections; i++) {
        SocketChannel client = SocketChannel.open(address);
        clients.add(client);
        if (startsSession) {
          client.write(buffer.clear().put(startup).put(empty).flip());
          buffer.clear();
          while (!endsWithReadyForQuery(buffer)) {
            if (client.read(buffer) < 0) {
              throw new IllegalStateException(
                  "the gateway closed connection " + i + " before it was ready for queries");
            }
          }
        }
      }
      arrival.await();
      return (Scale.usedHeapBytes() - before) / (double) connections;
    } finally {
      for (SocketChannel each : clients) {
        each.close();
      }
    }
  }

  private static boolean endsWithReadyForQuery(ByteBuffer read) {
    byte[] bytes = new byte[read.position()];
    read.duplicate().flip().get(bytes);
    return new String(bytes, US_ASCII).endsWith("I\0\0\0\4Z\0\0\0\5I");
  }
}
