package shelffront;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Runs the built jar and sends it the signals that the platform uses. */
public class ServeIT {

  private static final int WAIT_TIMEOUT_MS = 20_000;
  private static final int TEST_TIMEOUT_MS = 60_000;

  @Rule public final TemporaryFolder folder = new TemporaryFolder();

  /**
   * Guards against a process that terminates on SIGHUP, the JVM's default, and drops all requests
   * that it has accepted.
   */
  @Test(timeout = TEST_TIMEOUT_MS)
  public void reloadsConfigurationOnSighupAndStopsOnSigterm() throws Exception {
    Path file = folder.newFile("config.json").toPath();
    try (ServerSocket before = listen();
        ServerSocket after = listen()) {
      write(file, before);
      Process gateway =
          start(
              "serve",
              Map.of(
                  "BALANCER_CONFIG",
                  file.toString(),
                  "BALANCER_LISTEN",
                  "127.0.0.1:0",
                  "BALANCER_DISCOVERY",
                  address(before)));
      try (BufferedReader log = gateway.inputReader();
          Socket watch = before.accept()) {
        await(log, "listens on");
        write(file, after);
        signal(gateway, "HUP");
        await(log, "reloaded, discovery is /" + address(after));
        after.accept().close();
        Files.writeString(file, "{");
        signal(gateway, "HUP");
        await(log, "reload failed");
        signal(gateway, "TERM");
        await(log, "counters");
        assertTrue(gateway.waitFor(WAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS));
      } finally {
        gateway.destroyForcibly();
      }
    }
  }

  /**
   * A JVM that is started with SIGHUP ignored keeps ignoring it. Guards against a gateway that then
   * never reloads its configuration and does not log the reason.
   */
  @Test(timeout = TEST_TIMEOUT_MS)
  public void pollsConfigurationFileAndLogsTheReasonWhenSighupIsIgnored() throws Exception {
    Path file = folder.newFile("config.json").toPath();
    try (ServerSocket before = listen();
        ServerSocket after = listen()) {
      write(file, before);
      ProcessBuilder builder =
          builder(
              Map.of(
                  "BALANCER_CONFIG",
                  file.toString(),
                  "BALANCER_LISTEN",
                  "127.0.0.1:0",
                  "BALANCER_DISCOVERY",
                  address(before)),
              "sh",
              "-c",
              "trap '' HUP; exec java -jar target/shelffront.jar serve");
      Process gateway = builder.start();
      try (BufferedReader log = gateway.inputReader();
          Socket watch = before.accept()) {
        await(log, "SIGHUP is ignored");
        await(log, "listens on");
        write(file, after);
        signal(gateway, "HUP");
        await(log, "reloaded, discovery is /" + address(after));
        after.accept().close();
      } finally {
        gateway.destroyForcibly();
      }
    }
  }

  /**
   * Guards the training run, the last step of the build. It fills the archive for class data
   * sharing, which keeps class loading from delaying requests in the first seconds.
   */
  @Test(timeout = TEST_TIMEOUT_MS)
  public void trainingRunServesRequestsOfEveryClass() throws Exception {
    Process trainingRun =
        start("rehearse", Map.of("BALANCER_CONFIG", "../docs/example-config.json"));
    try (BufferedReader log = trainingRun.inputReader()) {
      await(log, "answers_served=200 ");
      assertTrue(trainingRun.waitFor(WAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS));
      assertEquals(0, trainingRun.exitValue());
    } finally {
      trainingRun.destroyForcibly();
    }
  }

  private static Process start(String command, Map<String, String> environment) throws IOException {
    return builder(environment, "java", "-jar", "target/shelffront.jar", command).start();
  }

  private static ProcessBuilder builder(Map<String, String> environment, String... command) {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().keySet().removeIf(name -> name.startsWith("BALANCER_"));
    builder.environment().putAll(environment);
    return builder.redirectErrorStream(true);
  }

  private static ServerSocket listen() throws IOException {
    ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    socket.setSoTimeout(WAIT_TIMEOUT_MS);
    return socket;
  }

  private static String address(ServerSocket socket) {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  private static void write(Path file, ServerSocket discovery) throws IOException {
    Files.writeString(
        file,
        Files.readString(Path.of("../docs/example-config.json"))
            .replace("127.0.0.1:8500", address(discovery)));
  }

  private static void signal(Process process, String name) throws Exception {
    assertEquals(
        0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  private static void await(BufferedReader log, String expected) throws IOException {
    StringBuilder seen = new StringBuilder();
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(expected)) {
        return;
      }
      seen.append(line).append('\n');
    }
    throw new AssertionError("log ended without \"" + expected + "\": " + seen);
  }
}
