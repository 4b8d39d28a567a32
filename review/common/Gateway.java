package review.common;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One gateway, started by the deploy file's run line from the repository's root. */
public final class Gateway implements AutoCloseable {

  public final int port;
  private final Process process;
  private final Path log;

  /**
   * Starts a gateway and waits until it answers an empty query with EmptyQueryResponse.
   *
   * @param settings the settings object of the site
   * @param known the list of database hosts as this gateway last had it
   */
  public Gateway(Path root, Path folder, String name, int discoveryPort, String settings, String known)
      throws IOException, InterruptedException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      port = free.getLocalPort();
    }
    Path config = folder.resolve(name + ".json");
    Files.writeString(
        config,
        "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
            + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\","
            + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known
            + ",\"settings\":" + settings + "}");
    log = folder.resolve(name + ".log");
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", runLine(root)).directory(root.toFile());
    builder.environment().put("BALANCER_NAME", name);
    builder.environment().put("BALANCER_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("BALANCER_DISCOVERY", "127.0.0.1:" + discoveryPort);
    builder.environment().put("BALANCER_CONFIG", config.toString());
    builder.environment().put("TMPDIR", folder.toString());
    process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    waitUntilReady();
  }

  private static String runLine(Path root) throws IOException {
    Matcher matcher =
        Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE)
            .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!matcher.find()) {
      throw new IOException("the deploy file has no run line");
    }
    return matcher.group(1);
  }

  private void waitUntilReady() throws IOException, InterruptedException {
    for (int i = 0; i < 300; i++) {
      try (Client client = new Client(port)) {
        client.call(";");
        return;
      } catch (IOException notReady) {
        if (!process.isAlive()) {
          throw new IOException("the gateway has ended: " + Files.readString(log));
        }
        Thread.sleep(100);
      }
    }
    throw new IOException("the gateway is not ready after 30 s");
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  /** Sends a signal to the program that run started. */
  public void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder(List.of("kill", "-" + name, Long.toString(process.pid()))).start().waitFor();
  }

  public List<String> log() throws IOException {
    return Files.readAllLines(log);
  }

  @Override
  public void close() throws InterruptedException, IOException {
    process.destroyForcibly();
    process.waitFor(5, TimeUnit.SECONDS);
    if (System.getenv("KEEP_LOG") != null) {
      Files.copy(log, Path.of(System.getenv("KEEP_LOG")), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }
  }
}
