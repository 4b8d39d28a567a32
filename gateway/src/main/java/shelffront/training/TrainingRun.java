package shelffront.training;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import shelffront.config.GatewayConfig;
import shelffront.config.MalformedInputException;
import shelffront.gateway.Gateway;
import shelffront.net.Network;
import shelffront.pg.Message;

/**
 * Runs a gateway under a short typical load, against a host, a discovery service and a client on
 * the loopback interface. The build runs it so that the JVM can archive the loaded classes (class
 * data sharing): without the archive, class loading takes most of a gateway's CPU share in the
 * first seconds.
 */
public final class TrainingRun {

  private static final int REQUESTS = 200;
  private static final int READ_TIMEOUT_MILLIS = 10_000;

  /** The server side of a connection to the emulated host or discovery service. */
  private interface ConnectionScript {
    void run(DataInputStream in, OutputStream out) throws IOException;
  }

  private final ServerSocket host = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final ServerSocket discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

  private TrainingRun() throws IOException {}

  /**
   * Runs until the gateway has drained. Sends requests of all request classes in the configuration
   * that the environment names.
   */
  public static void run(Map<String, String> environment, Network network)
      throws IOException, MalformedInputException, InterruptedException {
    TrainingRun training = new TrainingRun();
    GatewayConfig baseConfig = GatewayConfig.fromEnvironment(environment);
    GatewayConfig config =
        new GatewayConfig(
            baseConfig.name(),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            (InetSocketAddress) training.discovery.getLocalSocketAddress(),
            baseConfig.seed(),
            baseConfig.maxSockets(),
            baseConfig.maxOpenRequests(),
            baseConfig.settings(),
            baseConfig.knownEndpoints());
    Gateway gateway = new Gateway(network, config);
    acceptInBackground(training.host, TrainingRun::serveQueries);
    acceptInBackground(training.discovery, training::sendEndpointList);
    InetSocketAddress address = (InetSocketAddress) gateway.address();
    startDaemon(
        () -> {
          try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(READ_TIMEOUT_MILLIS);
            sendRequests(
                baseConfig, new DataInputStream(client.getInputStream()), client.getOutputStream());
          } catch (IOException e) {
            network.log().println("training run: client connection failed: " + e);
          }
          network.loop().post(gateway::drain);
        });
    gateway.start();
    network.loop().run();
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "rehearsal");
    thread.setDaemon(true);
    thread.start();
  }

  private static void acceptInBackground(ServerSocket listener, ConnectionScript script) {
    startDaemon(
        () -> {
          try {
            while (true) {
              Socket socket = listener.accept();
              startDaemon(
                  () -> {
                    try (socket) {
                      script.run(
                          new DataInputStream(socket.getInputStream()), socket.getOutputStream());
                    } catch (IOException e) {
                      // The gateway closed the connection, which ends this script.
                    }
                  });
            }
          } catch (IOException e) {
            // The listener closes when the process ends.
          }
        });
  }

  private static void sendRequests(GatewayConfig config, DataInputStream in, OutputStream out)
      throws IOException {
    out.write(Message.startup("api", "ledger"));
    skipUntilReady(in);
    for (int i = 0; i < REQUESTS; i++) {
      String name =
          config
              .settings()
              .requestClasses()
              .get(i % config.settings().requestClasses().size())
              .name();
      out.write(
          Message.query(
              ("/* id=r"
                      + i
                      + ",c="
                      + name
                      + ",d=1000,k=k"
                      + i
                      + ",cluster=1 */ SELECT blob FROM rows WHERE handle = 'h"
                      + i % 20
                      + "'")
                  .getBytes(ISO_8859_1)));
      skipUntilReady(in);
    }
    out.write(Message.query("no request".getBytes(ISO_8859_1)));
    skipUntilReady(in);
  }

  private static void skipUntilReady(DataInputStream in) throws IOException {
    while (skipMessage(in) != 'Z') {
      continue;
    }
  }

  private static int skipMessage(DataInputStream in) throws IOException {
    int type = in.readUnsignedByte();
    in.skipNBytes(in.readInt() - 4L);
    return type;
  }

  private static void serveQueries(DataInputStream in, OutputStream out) throws IOException {
    in.skipNBytes(in.readInt() - 4L);
    out.write(Message.authenticationOk());
    out.write(Message.readyForQuery());
    while (true) {
      in.readUnsignedByte();
      byte[] query = in.readNBytes(in.readInt() - 4);
      if (query.length == 1) { // an empty query, only the terminating zero
        out.write(concatenate(Message.emptyQueryResponse(), Message.readyForQuery()));
        continue;
      }
      boolean healthCheck = new String(query, ISO_8859_1).startsWith("SHOW");
      String value =
          healthCheck ? "x0=" + System.currentTimeMillis() / 1000 + ",x1=1,queue=0" : "value";
      out.write(
          concatenate(
              new Message('T', ("\0\1v\0" + "\0".repeat(18)).getBytes(ISO_8859_1)).bytes(),
              new Message('D', ("\0\1\0\0\0" + (char) value.length() + value).getBytes(ISO_8859_1))
                  .bytes(),
              new Message('C', "SELECT 1\0".getBytes(ISO_8859_1)).bytes(),
              Message.parameterStatus("server_role", "writer"),
              Message.readyForQuery()));
    }
  }

  private static byte[] concatenate(byte[]... parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      all.writeBytes(part);
    }
    return all.toByteArray();
  }

  private void sendEndpointList(DataInputStream in, OutputStream out) throws IOException {
    String list =
        "{\"revision\":1,\"complete\":true,\"members\":[{\"id\":\"s-1\",\"host_port\":\"127.0.0.1:"
            + host.getLocalPort()
            + "\",\"locality\":\"a\",\"flavor\":\"x\",\"cell\":1,\"phase\":\"Ready\","
            + "\"size\":1.0,\"up_since_ms\":0,\"access\":\"writer\"}]}\n";
    out.write(
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(list.length())
                + "\r\n"
                + list
                + "\r\n")
            .getBytes(ISO_8859_1));
    while (in.read() >= 0) {
      continue;
    }
  }
}
