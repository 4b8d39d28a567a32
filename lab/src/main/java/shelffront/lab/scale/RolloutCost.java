package shelffront.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import shelffront.Main;
import shelffront.lab.LabMain;
import shelffront.lab.faultinjection.JavaProcess;
import shelffront.tenant.TenantSpecCodec;

/**
 * Measures the load of rollout leases on the coordination store while no stage changes: calls and
 * bytes by number of gateways and subjects.
 */
@Command(
    name = "stage-cost",
    mixinStandardHelpOptions = true,
    description =
        "Starts gateways that hold leases on subjects, and counts the calls to the coordination"
            + " store.")
public final class RolloutCost implements Callable<Integer> {

  private static final int HEAP_MB = 96;
  private static final Pattern STORE_ADDRESS = Pattern.compile("listens on (127.0.0.1:[0-9]+)");
  private static final Pattern GATEWAY_ADDRESS = Pattern.compile("listens on /([0-9.]+:[0-9]+)");

  @Option(
      names = "--gateways",
      split = ",",
      defaultValue = "1,3,6",
      description = "(${DEFAULT-VALUE})")
  private List<Integer> gateways;

  @Option(
      names = "--subjects",
      split = ",",
      defaultValue = "1,3,6",
      description = "(${DEFAULT-VALUE})")
  private List<Integer> subjects;

  @Option(
      names = "--seconds",
      defaultValue = "12",
      description = "duration of the count (${DEFAULT-VALUE})")
  private int seconds;

  private final HttpClient http = HttpClient.newHttpClient();

  @Override
  public Integer call() throws Exception {
    System.out.println("| gateways | subjects | engine calls/s | engine KB/s |");
    System.out.println("| --- | --- | --- | --- |");
    for (int count : gateways) {
      measure(count, 1);
    }
    for (int count : subjects) {
      if (count > 1) {
        measure(3, count);
      }
    }
    return 0;
  }

  private void measure(int gatewayCount, int subjectCount) throws Exception {
    Path directory = Files.createTempDirectory("stage-cost-");
    List<JavaProcess> processes = new ArrayList<>();
    try {
      JavaProcess store =
          JavaProcess.start(
              LabMain.class,
              HEAP_MB,
              directory.resolve("engine.log"),
              "consul-stand-in",
              "--file",
              directory.resolve("engine.state").toString());
      processes.add(store);
      ScaledFleet.await("the coordination store is up", () -> store.found(STORE_ADDRESS) != null);
      for (int g = 0; g < gatewayCount; g++) {
        Path file = directory.resolve("g" + g + ".json");
        Files.writeString(
            file, config(store.found(STORE_ADDRESS), "g" + g, subjectCount).toString());
        JavaProcess gateway =
            JavaProcess.start(
                Main.class,
                HEAP_MB,
                directory.resolve("g" + g + ".log"),
                "serve",
                "--config",
                file.toString());
        processes.add(gateway);
        ScaledFleet.await("a gateway listens", () -> gateway.found(GATEWAY_ADDRESS) != null);
      }
      TimeUnit.SECONDS.sleep(3); // until all gateways have joined
      JsonNode before = storeCalls(store);
      TimeUnit.SECONDS.sleep(seconds);
      JsonNode after = storeCalls(store);
      System.out.printf(
          Locale.ROOT,
          "| %d | %d | %.2f | %.2f |%n",
          gatewayCount,
          subjectCount,
          (after.path("calls").asLong() - before.path("calls").asLong()) / (double) seconds,
          (after.path("bytes").asLong() - before.path("bytes").asLong()) / 1e3 / seconds);
    } finally {
      processes.forEach(JavaProcess::abandon);
    }
  }

  private static ObjectNode config(String store, String name, int subjectCount) {
    ObjectNode config = TenantSpecCodec.JSON.createObjectNode().put("listen", "127.0.0.1:0");
    ObjectNode fleet =
        config.putObject("fleet").put("engine", store).put("fleet", "cost").put("name", name);
    ObjectNode subjects = fleet.putObject("subjects");
    for (int subject = 0; subject < subjectCount; subject++) {
      subjects.putArray("s" + subject).add("one").add("two");
    }
    return config;
  }

  private JsonNode storeCalls(JavaProcess store) throws IOException, InterruptedException {
    return TenantSpecCodec.JSON.readTree(
        http.send(
                HttpRequest.newBuilder(
                        URI.create("http://" + store.found(STORE_ADDRESS) + "/calls"))
                    .build(),
                BodyHandlers.ofString())
            .body());
  }
}
