package shelffront.discovery;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import shelffront.config.EndpointList;
import shelffront.net.Counters;
import shelffront.net.EventLoop;
import shelffront.net.Network;
import shelffront.net.ResourceBudget;

/** Tests a change to another discovery service, with two services on loopback. */
class DiscoveryClientTest {

  private static final int TIMEOUT_SECONDS = 10;

  private final EventLoop loop =
      new EventLoop(() -> System.currentTimeMillis() * 1000, new Counters());
  private final BlockingQueue<Long> revisions = new LinkedBlockingQueue<>();
  private final Network network =
      Network.open(loop, new ResourceBudget(1 << 20), new Counters(), line -> {});
  private final Thread loopThread = new Thread(this::runLoop);

  private final DiscoveryClient.Listener listener =
      new DiscoveryClient.Listener() {
        @Override
        public void onEndpoints(EndpointList list) {
          revisions.add(list.revision());
        }

        @Override
        public void onDiscoveryFailed() {}
      };

  DiscoveryClientTest() throws IOException {}

  private void runLoop() {
    try {
      loop.run();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @AfterEach
  void stop() throws Exception {
    loop.post(loop::stop);
    loopThread.join(TIMEOUT_SECONDS * 1000);
    network.channels().shutdown();
  }

  private static InetSocketAddress addressOf(ServerSocket service) {
    return new InetSocketAddress(service.getInetAddress(), service.getLocalPort());
  }

  /** Accepts a watch that asks for changes since this revision. */
  private static Socket acceptWatch(ServerSocket service, long since) throws IOException {
    service.setSoTimeout(TIMEOUT_SECONDS * 1000);
    Socket watch = service.accept();
    BufferedReader in =
        new BufferedReader(new InputStreamReader(watch.getInputStream(), ISO_8859_1));
    assertEquals("GET /catalog/members?watch=1&from=" + since + " HTTP/1.1", in.readLine());
    watch
        .getOutputStream()
        .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(ISO_8859_1));
    return watch;
  }

  private static void sendList(Socket watch, long revision) throws IOException {
    String list = "{\"revision\":" + revision + ",\"complete\":true,\"members\":[]}\n";
    String chunk = Integer.toHexString(list.length()) + "\r\n" + list + "\r\n";
    watch.getOutputStream().write(chunk.getBytes(ISO_8859_1));
  }

  /**
   * Guards against hosts of a former service that stay in use because the list of the new one has a
   * lower revision.
   */
  @Test
  void takesListOfAnotherServiceWhateverItsRevision() throws Exception {
    try (ServerSocket former = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        ServerSocket next = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      DiscoveryClient client = new DiscoveryClient(network, addressOf(former), 40, listener);
      loopThread.start();
      loop.post(() -> client.watch(true));
      Socket formerWatch = acceptWatch(former, 40);
      sendList(formerWatch, 41);
      assertEquals(41, revisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
      loop.post(() -> client.changeService(addressOf(next)));
      Socket nextWatch = acceptWatch(next, 0);
      sendList(nextWatch, 12);
      assertEquals(12, revisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
  }
}
