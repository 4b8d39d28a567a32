package shelffront;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.Test;
import shelffront.pg.Message;

/** Runs the built jar by the platform's command, with its memory limits, under many clients. */
public class ManyClientsIT {

  private static final int TEST_TIMEOUT_MS = 60_000;
  private static final int CLIENTS = 450;
  private static final int STARTUP_BYTES = 9_900;
  private static final int FIRST_NAME = 0x1000;
  private static final Pattern RUN_COMMAND = Pattern.compile("(?m)^run = \"(.*)\"$");

  /**
   * Guards against a process that runs out of memory because every connection keeps the parameters
   * of its startup message, of which a client may send thousands.
   */
  @Test(timeout = TEST_TIMEOUT_MS)
  public void survivesStartupMessagesOfVeryManyShortParameters() throws Exception {
    Process gateway = startByThePlatformsCommand();
    List<Socket> clients = new ArrayList<>();
    try (BufferedReader log = gateway.inputReader()) {
      int port = listeningPort(log);
      for (int i = 0; i < CLIENTS; i++) {
        Socket client = new Socket("127.0.0.1", port);
        clients.add(client);
        client.getOutputStream().write(startupWithManyParameters());
        client.getOutputStream().write(Message.query(";".getBytes(ISO_8859_1)));
      }
      for (Socket client : clients) {
        awaitEmptyQueryResponse(client);
      }
      assertTrue("the gateway runs", gateway.isAlive());
    } finally {
      gateway.destroyForcibly();
      for (Socket client : clients) {
        client.close();
      }
    }
  }

  private static Process startByThePlatformsCommand() throws IOException {
    Matcher run = RUN_COMMAND.matcher(Files.readString(Path.of("../deploy/balancer.toml")));
    assertTrue("deploy/balancer.toml has a run command", run.find());
    ProcessBuilder builder = new ProcessBuilder("sh", "-c", run.group(1));
    builder.directory(Path.of("..").toFile()).redirectErrorStream(true);
    builder.environment().put("BALANCER_CONFIG", "docs/example-config.json");
    builder.environment().put("BALANCER_LISTEN", "127.0.0.1:0");
    return builder.start();
  }

  private static int listeningPort(BufferedReader log) throws IOException {
    Pattern listening = Pattern.compile("listens on .*:(\\d+), discovery");
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      Matcher matcher = listening.matcher(line);
      if (matcher.find()) {
        return Integer.parseInt(matcher.group(1));
      }
    }
    throw new AssertionError("the log ended before the gateway listened");
  }

  private static byte[] startupWithManyParameters() {
    ByteArrayOutputStream parameters = new ByteArrayOutputStream();
    parameters.writeBytes("user\0api\0database\0ledger\0".getBytes(ISO_8859_1));
    for (int name = FIRST_NAME; parameters.size() < STARTUP_BYTES; name++) {
      parameters.writeBytes((Integer.toHexString(name) + "\0\0").getBytes(ISO_8859_1));
    }
    parameters.write(0);
    int length = 2 * Integer.BYTES + parameters.size();
    return ByteBuffer.allocate(length)
        .putInt(length)
        .putInt(Message.PROTOCOL_3 << Short.SIZE)
        .put(parameters.toByteArray())
        .array();
  }

  private static void awaitEmptyQueryResponse(Socket client) throws IOException {
    DataInputStream in = new DataInputStream(client.getInputStream());
    int type = in.readUnsignedByte();
    while (type != 'I') {
      assertTrue("message of type " + (char) type, "RSZ".indexOf(type) >= 0);
      in.readNBytes(in.readInt() - Integer.BYTES);
      type = in.readUnsignedByte();
    }
    assertEquals(Integer.BYTES, in.readInt());
  }
}
