package shelffront.lab.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
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
import shelffront.lab.emulator.EmulatedReplicaSet;
import shelffront.lab.faultinjection.JavaProcess;
import shelffront.tenant.TenantSpecCodec;

/**
 * Measures the resource usage of an idle gateway process by number of hosts, dormant tenants,
 * active tenants and idle connections.
 */
@Command(
    name = "gateway-cost",
    mixinStandardHelpOptions = true,
    description = {
      "Starts gateways as processes and measures the resident memory, the CPU time until ready and"
          + " the CPU time at",
      "rest of each."
    })
public final class GatewayCost implements Callable<Integer> {

  private static final int HEAP_MB = 256;
  private static final Pattern CLIENT_ADDRESS = Pattern.compile("listens on /([0-9.]+:[0-9]+)");
  private static final long START_TIMEOUT_MILLIS = 60_000;
  private static final int MAX_HOSTS_PER_TENANT = 1000; // limit of the tenant schema
  private static final int HOSTS_PER_TENANT = SyntheticTenants.HOSTS_PER_TENANT;

  @Option(
      names = "--hosts",
      split = ",",
      defaultValue = "0,1000,3000,6000,12000",
      description = "(${DEFAULT-VALUE})")
  private List<Integer> hosts;

  @Option(
      names = "--resting",
      split = ",",
      defaultValue = "0,500,1500,3000",
      description = "(${DEFAULT-VALUE})")
  private List<Integer> resting;

  @Option(
      names = "--awake",
      split = ",",
      defaultValue = "0,50,150,400",
      description = "(${DEFAULT-VALUE})")
  private List<Integer> awake;

  @Option(
      names = "--connections",
      split = ",",
      defaultValue = "0,1000,3000,8000",
      description = "(${DEFAULT-VALUE})")
  private List<Integer> connections;

  @Option(
      names = "--seconds",
      defaultValue = "5",
      description = "duration of the measurement at rest (${DEFAULT-VALUE})")
  private int seconds;

  @Override
  public Integer call() throws Exception {
    System.out.println(
        "| what | count | ready s | resident MB | CPU s to ready | CPU at rest, % of a core |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (int count : hosts) {
      int tenants = (count + MAX_HOSTS_PER_TENANT - 1) / MAX_HOSTS_PER_TENANT;
      measure(
          "hosts, in tenants of 1,000 at rest",
          count,
          config(tenants, Math.min(count, MAX_HOSTS_PER_TENANT)),
          0,
          0);
    }
    for (int count : resting) {
      measure("tenants of five hosts, at rest", count, config(count, HOSTS_PER_TENANT), 0, 0);
    }
    // All tenants share five responsive hosts: a gateway keeps retrying unresponsive hosts, which
    // would distort the idle figures.
    EmulatedReplicaSet replicaSet = new EmulatedReplicaSet("cost", HOSTS_PER_TENANT - 1, 8, 1, 5);
    try {
      for (int count : awake) {
        measure(
            "tenants of five hosts, awake",
            count,
            withAddresses(config(count, HOSTS_PER_TENANT), replicaSet),
            count,
            1);
      }
      for (int count : connections) {
        measure(
            "idle connections, one tenant",
            count,
            withAddresses(config(1, HOSTS_PER_TENANT), replicaSet),
            1,
            count);
      }
    } finally {
      replicaSet.close();
    }
    return 0;
  }

  private static ObjectNode withAddresses(ObjectNode config, EmulatedReplicaSet replicaSet) {
    for (JsonNode tenant : config.path("tenants")) {
      int host = 0;
      for (JsonNode box : tenant.path("boxes").path("list")) {
        ((ObjectNode) box).put("address", replicaSet.hosts().get(host++).address());
      }
    }
    return config;
  }

  private static ObjectNode config(int tenants, int hostsPerTenant) {
    ObjectNode config =
        TenantSpecCodec.JSON.createObjectNode().put("listen", "127.0.0.1:0").put("sockets", 40_000);
    ArrayNode list = config.putArray("tenants");
    for (int t = 0; t < tenants; t++) {
      ObjectNode tenant = SyntheticTenants.document(SyntheticTenants.tenantId(t), 0);
      ((ObjectNode) tenant.withObject("/limits")).put("clientConnections", 40_000);
      ArrayNode boxes = (ArrayNode) tenant.path("boxes").path("list");
      for (int host = boxes.size(); host < hostsPerTenant; host++) {
        boxes
            .addObject()
            .put("id", "h" + host)
            .put("address", "127.0.0.1:9")
            .put("group", host / HOSTS_PER_TENANT)
            .put("role", host % HOSTS_PER_TENANT == 0 ? "primary" : "replica");
      }
      list.add(tenant);
    }
    return config;
  }

  private void measure(String what, int count, ObjectNode config, int tenants, int clientsPerTenant)
      throws Exception {
    Path directory = Files.createTempDirectory("gateway-cost-");
    Path file = directory.resolve("gateway.json");
    Files.writeString(file, config.toString());
    long startedNanos = System.nanoTime();
    JavaProcess process =
        JavaProcess.start(
            Main.class, HEAP_MB, directory.resolve("log"), "serve", "--config", file.toString());
    List<Socket> clients = new ArrayList<>();
    try {
      while (process.found(CLIENT_ADDRESS) == null) {
        if (System.nanoTime() - startedNanos
            > TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS)) {
          throw new IOException(
              "gateway did not listen within "
                  + START_TIMEOUT_MILLIS
                  + " ms; case: "
                  + what
                  + ", count "
                  + count
                  + "; log file is in "
                  + directory);
        }
        TimeUnit.MILLISECONDS.sleep(5);
      }
      double readySeconds = (System.nanoTime() - startedNanos) / 1e9;
      double startCpuSeconds = process.cpuSeconds();
      for (int tenant = 0; tenant < tenants; tenant++) {
        for (int c = 0; c < clientsPerTenant; c++) {
          clients.add(
              ClientProbe.open(process.found(CLIENT_ADDRESS), SyntheticTenants.tenantId(tenant)));
        }
      }
      TimeUnit.SECONDS.sleep(2); // skips initial connections and health checks
      double before = process.cpuSeconds();
      TimeUnit.SECONDS.sleep(seconds);
      double coresAtRest = (process.cpuSeconds() - before) / seconds;
      System.out.printf(
          Locale.ROOT,
          "| %s | %d | %.2f | %.1f | %.2f | %.2f |%n",
          what,
          count,
          readySeconds,
          process.residentBytes() / 1e6,
          startCpuSeconds,
          100 * coresAtRest);
    } finally {
      for (Socket client : clients) {
        client.close();
      }
      process.kill();
    }
  }
}
