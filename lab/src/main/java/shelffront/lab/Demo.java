package shelffront.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import shelffront.lab.emulator.EmulatedReplicaSet;
import shelffront.lab.load.ClientBehavior;
import shelffront.lab.load.LoadResult;
import shelffront.lab.load.OpenLoopLoad;
import shelffront.lab.load.RequestKind;
import shelffront.multitenant.MultiTenantConfig;
import shelffront.multitenant.MultiTenantGateway;
import shelffront.tenant.TenantSpecCodec;

/** Runs a gateway on loopback with an emulated replica set and a sample tenant to try it out. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description =
        "Starts a gateway with emulated hosts and a sample tenant, and runs a short load on it.")
final class Demo implements Callable<Integer> {

  @Option(
      names = "--seconds",
      defaultValue = "600",
      description = "time until it stops (${DEFAULT-VALUE})")
  private double seconds;

  @Option(
      names = "--port",
      defaultValue = "5433",
      description = "port for clients, 0 for any free port (${DEFAULT-VALUE})")
  private int port;

  @Option(
      names = "--admin-port",
      defaultValue = "8600",
      description = "port of the administration API (${DEFAULT-VALUE})")
  private int adminPort;

  @Override
  public Integer call() throws Exception {
    try (EmulatedReplicaSet replicaSet = new EmulatedReplicaSet("sample", 2, 4, 5, 10)) {
      ObjectNode config =
          TenantSpecCodec.JSON
              .createObjectNode()
              .put("listen", "127.0.0.1:" + port)
              .put("admin", "127.0.0.1:" + adminPort);
      config.putArray("tenants").add(sample(replicaSet));
      MultiTenantGateway gateway =
          new MultiTenantGateway(MultiTenantConfig.read(config), System.out::println);
      Thread eventLoopThread = gateway.start();
      InetSocketAddress clients =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), gateway.address().getPort());
      String admin = "127.0.0.1:" + gateway.adminAddress().getPort();
      String token = gateway.tokens().create(null, "demo");
      System.out.println(
          "clients: psql -h 127.0.0.1 -p "
              + clients.getPort()
              + " -U demo -d sample -c \"/* id=q1,c=read,d=1000,cluster=1 */ SELECT blob FROM rows"
              + " WHERE handle = 'h1'\"");
      System.out.println(
          "administrators: curl -H 'Authorization: Bearer "
              + token
              + "' http://"
              + admin
              + "/v1/tenants/sample/usage");
      LoadResult result =
          OpenLoopLoad.run(
              clients,
              "sample",
              null,
              List.of(new RequestKind("read", false, 200, 1000)),
              ClientBehavior.PLAIN,
              20,
              4,
              Math.min(5, seconds));
      System.out.printf(
          "load of 20 reads/s: %d of %d served on time, median latency %.1f ms%n",
          result.total.onTime,
          result.total.due,
          result.latencyMicros.getValueAtPercentile(50) / 1e3);
      Thread.sleep((long) (1000 * Math.max(0, seconds - 5)));
      gateway.drain();
      eventLoopThread.join();
      return 0;
    }
  }

  private static JsonNode sample(EmulatedReplicaSet replicaSet) {
    ObjectNode tenant = TenantSpecCodec.JSON.createObjectNode().put("id", "sample");
    ArrayNode classes = tenant.putArray("classes");
    classes
        .addObject()
        .put("name", "read")
        .put("aimMs", 200)
        .put("giveUpMs", 1000)
        .put("read", "session");
    classes
        .addObject()
        .put("name", "write")
        .put("aimMs", 500)
        .put("giveUpMs", 2000)
        .put("read", "write")
        .put("effect", "keyed")
        .put("windowMs", 2000);
    ArrayNode list = tenant.putObject("boxes").putArray("list");
    for (EmulatedReplicaSet.Host host : replicaSet.hosts()) {
      list.addObject()
          .put("id", host.id())
          .put("address", host.address())
          .put("group", 1)
          .put("role", host.isPrimary() ? "primary" : "replica");
    }
    return tenant;
  }
}
