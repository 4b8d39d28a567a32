package shelffront.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.Assert.assertEquals;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Test;

/**
 * Truncates a host's response after each of its bytes, by an orderly close or a reset. Before the
 * end of CommandComplete, no part of the response is forwarded and the request may have been
 * executed: it is retried if its class permits that, and fails otherwise. After that the outcome is
 * known, unless the response ends within a message.
 */
public class TruncatedResponseTest {

  private static final String ROW =
      "\"T\"{0001\"blob\"00 00000000000000000011FFFFFFFFFFFF0001}"
          + " \"D\"{0001(00FF27)} \"C\"{\"SELECT 1\"00}";
  private static final String READY = "\"Z\"{\"I\"}";
  private static final byte[] COMPLETE_RESPONSE =
      RecordedExchangeRunner.bytes(ROW + " \"S\"{\"server_role\"00\"writer\"00} " + READY);

  /** Response lengths that contain the outcome and end at the end of a message. */
  private static final Set<Integer> LENGTHS_WITH_OUTCOME =
      Set.of(
          RecordedExchangeRunner.bytes(ROW).length,
          COMPLETE_RESPONSE.length - RecordedExchangeRunner.bytes(READY).length,
          COMPLETE_RESPONSE.length);

  private static final byte[] STARTUP_RESPONSE =
      RecordedExchangeRunner.bytes("\"R\"{00000000} " + READY);
  private static final byte[] HEALTH_CHECK_RESPONSE =
      RecordedExchangeRunner.bytes(
          "\"T\"{0001\"usage\"00 00000000000000000019FFFFFFFFFFFF0000}"
              + " \"D\"{0001(\"x0=1800000000.000,x1=1,queue=0\")} \"C\"{\"SHOW\"00} "
              + READY);

  /** A primary that responds to every query but truncates its first response to a request. */
  private static final class Host {

    private final int cut;
    private final boolean reset;
    private final AtomicInteger requests = new AtomicInteger();

    Host(int cut, boolean reset) {
      this.cut = cut;
      this.reset = reset;
    }

    void serve(ServerSocket listener) {
      startDaemon(
          () -> {
            while (true) {
              Socket socket = listener.accept();
              startDaemon(
                  () -> {
                    DataInputStream in = new DataInputStream(socket.getInputStream());
                    in.readNBytes(in.readInt() - 4);
                    socket.getOutputStream().write(STARTUP_RESPONSE);
                    respond(socket);
                  });
            }
          });
    }

    void respond(Socket socket) throws IOException {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (in.read() == 'Q') {
        String query = new String(in.readNBytes(in.readInt() - 4), ISO_8859_1);
        if (query.startsWith("SHOW")) {
          out.write(HEALTH_CHECK_RESPONSE);
        } else if (requests.getAndIncrement() > 0) {
          out.write(COMPLETE_RESPONSE);
        } else {
          out.write(COMPLETE_RESPONSE, 0, cut);
          socket.setSoLinger(reset, 0);
          socket.close();
          return;
        }
      }
    }

    private interface IoTask {

      void run() throws IOException;
    }

    private static void startDaemon(IoTask task) {
      Thread thread =
          new Thread(
              () -> {
                try {
                  task.run();
                } catch (IOException e) {
                  // closed by the gateway or the test
                }
              });
      thread.setDaemon(true);
      thread.start();
    }
  }

  /** Sends a request whose first response is truncated; returns how often it reached the host. */
  private static int countRequests(String effect, int cut, boolean reset, String response)
      throws Exception {
    try (RecordedExchangeRunner runner = new RecordedExchangeRunner()) {
      Host host = new Host(cut, reset);
      String name = effect + " cut after " + cut + (reset ? " by a reset" : "");
      runner.replay(name, List.of("set \"by_key\" \"" + effect + "\"", "include start"));
      Socket first = runner.socket("h1");
      host.serve(runner.listener("m1"));
      Host.startDaemon(() -> host.respond(first));
      runner.replay(
          name,
          List.of(
              "c opens",
              "c > @hello \"Q\"{\"/* id=a,c=order,d=3000,k=5c0f,cluster=1 */ INSERT INTO rows\"00}",
              "c < @welcome " + response + " @ready",
              "c > \"Q\"{\" ;\"00}",
              "c < \"I\"{} @ready"));
      return host.requests.get();
    }
  }

  @Test
  public void truncatedResponseToRepeatableRequestIsRetried() throws Exception {
    for (int cut = 0; cut <= COMPLETE_RESPONSE.length; cut++) {
      assertEquals(
          "cut after " + cut,
          LENGTHS_WITH_OUTCOME.contains(cut) ? 1 : 2,
          countRequests("by_key", cut, false, "@row"));
    }
  }

  @Test
  public void truncatedResponseToNonRepeatableRequestFails() throws Exception {
    String failed =
        "\"E\"{\"SERROR\"00\"VERROR\"00\"C40003\"00\"Mfailed, its effect is not known\"00 00}";
    for (int cut = 0; cut <= COMPLETE_RESPONSE.length; cut++) {
      assertEquals(
          "cut after " + cut,
          1,
          countRequests("once", cut, false, LENGTHS_WITH_OUTCOME.contains(cut) ? "@row" : failed));
    }
    // A reset may discard bytes that were written before it, so the request is sure to fail only
    // where the result was never sent completely.
    for (int cut = 0; cut < RecordedExchangeRunner.bytes(ROW).length; cut++) {
      assertEquals("reset after " + cut, 1, countRequests("once", cut, true, failed));
    }
  }
}
