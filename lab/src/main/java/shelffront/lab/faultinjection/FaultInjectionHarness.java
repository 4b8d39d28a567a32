package shelffront.lab.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import org.awaitility.Awaitility;
import shelffront.Main;
import shelffront.lab.LabMain;

/**
 * Runs gateways and the emulated coordination store as separate processes, with a fault proxy
 * between each gateway and the store. All processes listen on loopback, on ports that the system
 * assigns. The harness signals only its own child processes, and waits for conditions instead of
 * fixed times.
 */
public final class FaultInjectionHarness implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final int HEAP_MB = 96;
  static final String SUBJECT = "drill";
  private static final Pattern ADMIN_ADDRESS =
      Pattern.compile("administration on /([0-9.]+:[0-9]+)");
  private static final Pattern OPERATOR_TOKEN = Pattern.compile("shown once: (\\S+)");

  /** A gateway process, which can be terminated and restarted under the same name. */
  public final class GatewayProcess {

    private final int number;
    private final FaultProxy proxy;
    private final long leaseMs;
    private JavaProcess process;
    private int starts;

    private GatewayProcess(int number, long leaseMs) throws IOException {
      this.number = number;
      this.leaseMs = leaseMs;
      proxy = new FaultProxy(storeAddress);
    }

    public FaultProxy proxy() {
      return proxy;
    }

    public boolean isUp() {
      return process != null && process.isUp();
    }

    public void start() throws IOException {
      starts++;
      ObjectNode config =
          JSON.createObjectNode().put("listen", "127.0.0.1:0").put("admin", "127.0.0.1:0");
      ObjectNode fleet = config.putObject("fleet");
      fleet
          .put("engine", proxy.address())
          .put("fleet", "rig")
          .put("name", "g" + number)
          .put("leaseMs", leaseMs)
          .put("actMs", 0)
          .put("suspectMs", leaseMs)
          .put("history", history().toString());
      fleet.putObject("subjects").putArray(SUBJECT).add("one").add("two").add("three").add("four");
      Path file = directory.resolve("g" + number + ".json");
      Files.writeString(file, config.toString());
      process =
          JavaProcess.start(
              Main.class,
              HEAP_MB,
              directory.resolve("g" + number + "." + starts + ".log"),
              "serve",
              "--config",
              file.toString());
    }

    private Path history() {
      return directory.resolve("g" + number + ".history");
    }

    public void signal(String name) {
      process.signal(name);
    }

    /** Kills the process, even if it is suspended, and waits for its exit. */
    public void kill() throws InterruptedException {
      process.kill();
    }

    /**
     * Requests termination and waits for the exit.
     *
     * @throws IllegalStateException if the process does not exit within the timeout
     */
    public void terminate() throws InterruptedException {
      if (!process.terminate(TIMEOUT.toSeconds())) {
        throw new IllegalStateException(
            "gateway g"
                + number
                + " did not exit within "
                + TIMEOUT.toSeconds()
                + " s of SIGTERM; log files are in "
                + directory);
      }
    }

    private String findInOutput(Pattern pattern) {
      return process.found(pattern);
    }

    public boolean isReady() {
      return findInOutput(ADMIN_ADDRESS) != null;
    }

    /** Whether the log contains the text. */
    public boolean hasLogged(String text) {
      return process.printed().contains(text);
    }

    /** Calls the administration API; returns null if there was no response. */
    private HttpResponse<String> call(String method, String path, String body) {
      try {
        return http.send(
            HttpRequest.newBuilder(URI.create("http://" + findInOutput(ADMIN_ADDRESS) + path))
                .timeout(Duration.ofSeconds(5))
                .header("Authorization", "Bearer " + findInOutput(OPERATOR_TOKEN))
                .method(
                    method, body == null ? BodyPublishers.noBody() : BodyPublishers.ofString(body))
                .build(),
            BodyHandlers.ofString());
      } catch (IOException e) {
        return null;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return null;
      }
    }

    /** Returns the status of the subject as this gateway reports it, or null without a response. */
    public JsonNode subjectStatus() {
      HttpResponse<String> response =
          isUp() && isReady() ? call("GET", "/v1/subjects/" + SUBJECT, null) : null;
      try {
        return response == null || response.statusCode() != 200
            ? null
            : JSON.readTree(response.body()).path("subjects").path(0);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /** Requests a target stage; returns the HTTP status, or 0 without a response. */
    public int requestStage(String stage) {
      HttpResponse<String> response =
          call(
              "PUT",
              "/v1/subjects/" + SUBJECT,
              JSON.createObjectNode().put("target", stage).toString());
      return response == null ? 0 : response.statusCode();
    }
  }

  private final Path directory;
  private final HttpClient http = HttpClient.newHttpClient();
  private final List<GatewayProcess> gateways = new ArrayList<>();
  private JavaProcess storeProcess;
  private InetSocketAddress storeAddress;

  /**
   * Starts the coordination store. {@link #add} starts gateways.
   *
   * @param directory receives configuration, log and history files
   */
  public FaultInjectionHarness(Path directory) throws IOException {
    this.directory = directory;
    Files.createDirectories(directory);
    startStore(0);
  }

  private void startStore(int port) throws IOException {
    Path log = directory.resolve("engine.log");
    storeProcess =
        JavaProcess.start(
            LabMain.class,
            HEAP_MB,
            log,
            "consul-stand-in",
            "--port",
            Integer.toString(port),
            "--file",
            directory.resolve("engine.state").toString());
    Pattern listens = Pattern.compile("listens on 127.0.0.1:([0-9]+)");
    await("the coordination store is up", () -> storeProcess.found(listens) != null);
    storeAddress =
        new InetSocketAddress("127.0.0.1", Integer.parseInt(storeProcess.found(listens)));
  }

  /** Adds a gateway with this lease duration and starts it. */
  public GatewayProcess add(long leaseMs) throws IOException {
    GatewayProcess gateway = new GatewayProcess(gateways.size(), leaseMs);
    gateways.add(gateway);
    gateway.start();
    return gateway;
  }

  public List<GatewayProcess> gateways() {
    return gateways;
  }

  /** Kills the store process and restarts it at the same address with its stored entries. */
  public void restartStore() throws IOException, InterruptedException {
    storeProcess.kill();
    startStore(storeAddress.getPort());
  }

  /** Sets the faults of the emulated store (see {@link ConsulEmulator}); empty clears them. */
  public void injectStoreFault(String query) throws IOException, InterruptedException {
    http.send(
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + storeAddress.getPort() + "/fault?" + query))
            .PUT(BodyPublishers.noBody())
            .build(),
        BodyHandlers.ofString());
  }

  /** Waits up to one minute for a condition. */
  public void await(String what, BooleanSupplier condition) {
    Awaitility.await(what + "; log files are in " + directory)
        .atMost(TIMEOUT)
        .pollInterval(Duration.ofMillis(50))
        .until(condition::getAsBoolean);
  }

  /** Waits until the stage is in force at every running gateway. */
  public void awaitStage(String stage) {
    await(
        "stage " + stage + " is in force at all running gateways",
        () ->
            gateways.stream()
                .filter(GatewayProcess::isUp)
                .allMatch(
                    gateway -> {
                      JsonNode status = gateway.subjectStatus();
                      return status != null && status.path("inForceHere").asText().equals(stage);
                    }));
  }

  /** Returns the first gateway that reports being rollout leader, or null if none does. */
  public GatewayProcess leader() {
    for (GatewayProcess gateway : gateways) {
      JsonNode status = gateway.subjectStatus();
      if (status != null && status.path("owner").asBoolean()) {
        return gateway;
      }
    }
    return null;
  }

  /** Number of stage changes that rollout leaders have recorded so far. */
  public int moves() {
    try {
      return histories().moves();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Reads and checks the histories of all gateways up to now. */
  public RolloutHistoryChecker histories() throws IOException {
    return RolloutHistoryChecker.read(gateways.stream().map(GatewayProcess::history).toList());
  }

  @Override
  public void close() throws IOException {
    for (GatewayProcess gateway : gateways) {
      if (gateway.process != null) {
        gateway.process.abandon();
      }
      gateway.proxy.close();
    }
    storeProcess.abandon();
  }
}
