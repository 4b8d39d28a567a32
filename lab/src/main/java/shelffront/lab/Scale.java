package shelffront.lab;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import shelffront.admin.TenantAdministration;
import shelffront.multitenant.MultiTenantConfig;
import shelffront.multitenant.MultiTenantGateway;
import shelffront.store.DocumentStore.Kind;
import shelffront.tenant.Tenant;
import shelffront.tenant.TenantSpec;
import shelffront.tenant.TenantSpecCodec;

/** Measures what idle tenants cost: start time, memory per tenant, and the time of a change. */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    description =
        "Measures start time, memory per tenant and the time of a change with many idle tenants.")
final class Scale implements Callable<Integer> {

  private static final int CHANGE_COUNT = 200;

  @Option(
      names = "--tenants",
      defaultValue = "2000",
      description = "number of tenants (${DEFAULT-VALUE})")
  private int count;

  @Override
  public Integer call() throws Exception {
    measure(20); // compiles the code before measuring
    System.out.println(
        "| tenants | start from the store s | heap for each KB | change in force, median ms "
            + "| p99 ms |");
    System.out.println("|---|---|---|---|---|");
    System.out.println(measure(1));
    System.out.println(measure(count));
    return 0;
  }

  private static String measure(int tenants) throws Exception {
    Path file = Files.createTempFile("scale", ".store");
    Files.delete(file);
    try {
      ObjectNode config =
          TenantSpecCodec.JSON
              .createObjectNode()
              .put("listen", "127.0.0.1:0")
              .put("store", file.toString());
      ArrayNode list = config.putArray("tenants");
      for (int i = 0; i < tenants; i++) {
        list.add(tenant("t" + i, 1));
      }
      MultiTenantConfig seeded = MultiTenantConfig.read(config);
      stop(new MultiTenantGateway(seeded, line -> {}));
      config.remove("tenants");
      MultiTenantConfig bare = MultiTenantConfig.read(config);
      long before = usedHeapBytes();
      long from = System.nanoTime();
      MultiTenantGateway gateway = new MultiTenantGateway(bare, line -> {});
      Thread eventLoopThread = gateway.start();
      gateway.heldResources().get(60, TimeUnit.SECONDS);
      double start = (System.nanoTime() - from) / 1e9;
      double each = (usedHeapBytes() - before) / 1024.0 / tenants;
      double[] tookMillis = changes(gateway, tenants);
      gateway.drain();
      eventLoopThread.join();
      return String.format(
          Locale.ROOT,
          "| %d | %.2f | %.1f | %.2f | %.2f |",
          tenants,
          start,
          each,
          tookMillis[CHANGE_COUNT / 2],
          tookMillis[CHANGE_COUNT * 99 / 100]);
    } finally {
      Files.deleteIfExists(file);
    }
  }

  /**
   * Returns the times from the call until the change is on disk and in force, in milliseconds and
   * ascending order.
   */
  private static double[] changes(MultiTenantGateway gateway, int tenants) throws Exception {
    double[] tookMillis = new double[CHANGE_COUNT];
    for (int i = 0; i < CHANGE_COUNT; i++) {
      String id = "t" + i % tenants;
      long revision = gateway.store().get(Kind.TENANT, id).revision();
      CompletableFuture<Long> inForce = new CompletableFuture<>();
      TenantAdministration administration =
          new TenantAdministration(
              gateway.store(),
              new TenantAdministration.TenantControl() {
                @Override
                public void apply(TenantSpec spec, LongConsumer then) {
                  gateway.apply(spec, at -> inForce.complete(at));
                }

                @Override
                public void remove(String name, LongConsumer gone) {
                  gateway.remove(name, gone);
                }

                @Override
                public CompletableFuture<Tenant.Usage> usage(String name) {
                  return gateway.usage(name);
                }
              },
              System::currentTimeMillis);
      long from = System.nanoTime();
      administration.put(id, revision, tenant(id, 2 + i), "scale", "change");
      inForce.get(60, TimeUnit.SECONDS);
      tookMillis[i] = (System.nanoTime() - from) / 1e6;
    }
    Arrays.sort(tookMillis);
    return tookMillis;
  }

  static ObjectNode tenant(String id, int weight) {
    ObjectNode tenant = TenantSpecCodec.JSON.createObjectNode().put("id", id).put("weight", weight);
    ArrayNode classes = tenant.putArray("classes");
    classes.addObject().put("name", "read").put("giveUpMs", 1000).put("read", "session");
    classes
        .addObject()
        .put("name", "write")
        .put("giveUpMs", 2000)
        .put("read", "write")
        .put("effect", "keyed")
        .put("windowMs", 2000);
    ArrayNode list = tenant.putObject("boxes").putArray("list");
    for (int i = 0; i < 4; i++) {
      list.addObject()
          .put("id", id + "-" + i)
          .put("address", "127.0.0.1:9")
          .put("group", 1)
          .put("role", i == 0 ? "primary" : "replica");
    }
    return tenant;
  }

  private static void stop(MultiTenantGateway gateway) throws InterruptedException {
    Thread eventLoopThread = gateway.start();
    gateway.drain();
    eventLoopThread.join();
  }

  static long usedHeapBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
