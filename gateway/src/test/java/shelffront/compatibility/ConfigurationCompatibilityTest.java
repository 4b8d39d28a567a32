package shelffront.compatibility;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shelffront.cli.Templates;
import shelffront.config.GatewayConfig;
import shelffront.config.Json;
import shelffront.config.MemberList;
import shelffront.config.SettingsReader;
import shelffront.distribution.Endpoint;
import shelffront.distribution.Timings;
import shelffront.fleetconfig.DistributorRole;
import shelffront.fleetconfig.FleetRecordsConfig;
import shelffront.hosted.HostedConfig;
import shelffront.route.Router.Availability;
import shelffront.route.Router.ClassSettings;
import shelffront.route.Router.Effect;
import shelffront.route.Router.LagCheck;
import shelffront.route.Router.Limits;
import shelffront.route.Router.ListRole;
import shelffront.route.Router.Member;
import shelffront.route.Router.Read;
import shelffront.route.Router.ReportSource;
import shelffront.route.Router.Rules;
import shelffront.route.Router.Scope;
import shelffront.route.Router.Settings;
import shelffront.server.Servers.Login;
import shelffront.stage.Bounds;
import shelffront.stages.StagesConfig;
import shelffront.tenant.SpecJson;
import shelffront.tenant.TenantSpec;

/** Settings files of each kind, as version 0.2.0 reads them. */
class ConfigurationCompatibilityTest {

  private static final long MEBIBYTE = 1 << 20;
  private static final InetSocketAddress DISCOVERY = new InetSocketAddress("127.0.0.1", 8500);

  /** What a tenant's settings say nothing about. */
  private static final Rules TENANT_RULES =
      new Rules(2_000_000, 0.21, 18_000_000, 4, 2_000_000, false, 10_000_000, 20_000);

  private static final List<ClassSettings> MAP_CLASSES =
      List.of(
          new ClassSettings("map-read", 600_000, 1_200_000, 2, 0, Effect.REPEATABLE, Scope.GROUP,
              0, Read.BOUNDED, 500_000),
          new ClassSettings("own-edit-read", 1_000_000, 2_000_000, 3, 0, Effect.REPEATABLE,
              Scope.GROUP, 0, Read.SESSION, 0),
          new ClassSettings("live-read", 750_000, 1_500_000, 1, 0, Effect.REPEATABLE, Scope.GROUP,
              0, Read.FRESH, 0),
          new ClassSettings("map-write", 1_500_000, 3_000_000, 6, 0.7, Effect.KEYED, Scope.GROUP,
              2_000_000, Read.WRITE, 0));

  @TempDir private Path directory;

  private Path copy(String name) throws IOException {
    return StoredResource.copy("config/" + name, directory);
  }

  private JsonNode evaluated(String name) throws Exception {
    return Templates.evaluate(copy(name));
  }

  private HostedConfig hosted(String name) throws Exception {
    copy("shelffront.libsonnet");
    return HostedConfig.read(evaluated(name));
  }

  /** The settings of a tenant whose {@code hosts} are left out. */
  private static Settings plainSettings(List<ClassSettings> classes) {
    return new Settings(0, 1, "", 1_000, classes, LagCheck.WAIT, 100_000, false, false,
        ListRole.LATE, true, ReportSource.PROBES, TENANT_RULES,
        new Limits(8, 2_000_000, true, true, false, true, false, 250_000, 30_000_000), 0, 0);
  }

  /** Everything of a tenant of the library's function but its id, weight and discovery. */
  private static void assertLibraryTenant(TenantSpec spec) {
    assertEquals(new TenantSpec.Bounds(0, 1, 200, 100, 64, 8 * MEBIBYTE), spec.bounds());
    assertEquals(plainSettings(MAP_CLASSES), spec.settings());
    assertEquals(new Login("shelffront", spec.id()), spec.login());
    assertEquals(MemberList.empty(), spec.boxes());
    assertEquals(Set.of(), spec.drained());
    assertEquals(List.of(), spec.credentials());
    assertEquals(0, spec.shares().length);
    assertEquals(5_000_000, spec.grace());
  }

  private static List<TenantSpec> tenants(HostedConfig config) throws Exception {
    List<TenantSpec> specs = new ArrayList<>();
    for (JsonNode tenant : config.tenants()) {
      specs.add(SpecJson.read(tenant));
    }
    return specs;
  }

  // ---- A gateway of one set, by the environment -------------------------------------------------

  @Test
  void readsExampleOfGateway() throws Exception {
    GatewayConfig config =
        GatewayConfig.fromEnvironment(
            Map.of("BALANCER_CONFIG", copy("example-config.json").toString()));
    assertEquals(
        new GatewayConfig(
            "n0",
            new InetSocketAddress("127.0.0.1", 5433),
            DISCOVERY,
            0x8c1f30d27a5be964L,
            1024,
            100,
            new Settings(0, 1, "a", 5_000,
                List.of(
                    new ClassSettings("basket", 500_000, 2_000_000, 3, 0, Effect.REPEATABLE,
                        Scope.ALL, 5_000_000, Read.SESSION, 0),
                    new ClassSettings("fresh", 500_000, 1_500_000, 1, 0, Effect.REPEATABLE,
                        Scope.ALL, 5_000_000, Read.FRESH, 0),
                    new ClassSettings("order", 1_200_000, 3_000_000, 6, 0.7, Effect.KEYED,
                        Scope.GROUP, 2_000_000, Read.WRITE, 0)),
                LagCheck.WAIT, 100_000, false, false, ListRole.LATE, true, ReportSource.PROBES,
                new Rules(2_000_000, 0.21, 18_000_000, 4, 2_000_000, false, 10_000_000, 20_000),
                new Limits(8, 2_000_000, true, true, false, true, false, 250_000, 30_000_000),
                0, 0.01),
            MemberList.empty()),
        config);
  }

  @Test
  void readsEverySettingOfGateway() throws Exception {
    GatewayConfig config =
        GatewayConfig.fromEnvironment(
            Map.of("BALANCER_CONFIG", copy("gateway-full.json").toString()));
    assertEquals("n3", config.name());
    assertEquals(new InetSocketAddress("127.0.0.1", 15_433), config.listen());
    assertEquals(new InetSocketAddress("127.0.0.1", 18_500), config.discovery());
    assertEquals(0xfedcba9876543210L, config.seed());
    assertEquals(2048, config.sockets());
    assertEquals(321, config.openCap());
    assertEquals(
        new Settings(3, 4, "b", 7_000,
            List.of(
                new ClassSettings("edit", 1_200_000, 3_000_000, 6, 0.7, Effect.KEYED,
                    Scope.GROUP, 2_000_000, Read.WRITE, 0),
                new ClassSettings("fresh", 500_000, 1_500_000, 1, 0.1, Effect.REPEATABLE,
                    Scope.ALL, 5_000_000, Read.FRESH, 0),
                new ClassSettings("own", 600_000, 1_600_000, 2, 0.2, Effect.REPEATABLE,
                    Scope.ZONE, 0, Read.SESSION, 0),
                new ClassSettings("old", 700_000, 1_700_000, 3, 0.3, Effect.REPEATABLE,
                    Scope.ALL, 0, Read.BOUNDED, 450_000),
                new ClassSettings("any", 800_000, 1_800_000, 4, 0.4, Effect.REPEATABLE,
                    Scope.ALL, 0, Read.ANY, 0),
                new ClassSettings("pay", 900_000, 1_900_000, 5, 0.5, Effect.ONCE, Scope.ALL, 0,
                    Read.WRITE, 0)),
            LagCheck.REFUSE, 60_000, true, true, ListRole.AT_START, true, ReportSource.ANSWERS,
            new Rules(1_500_000, 0.25, 17_000_000, 2.5, 3_000_000, true, 9_000_000, 25_000),
            new Limits(5, 1_200_000, true, true, true, true, true, 400_000, 8_000_000), 0.125,
            0.01),
        config.settings());
    assertEquals(
        new MemberList(17, true,
            List.of(
                new Member("b1", "large", "a", 4, 1.5, 1_234_000, true, Availability.LIVE),
                new Member("b2", "small", "b", 4, 0.5, 0, false, Availability.DRAINING),
                new Member("b3", "", "", 0, 1, 0, false, Availability.GONE)),
            Map.of("b1", new InetSocketAddress("10.0.0.1", 5432),
                "b2", new InetSocketAddress("10.0.0.2", 5432))),
        config.known());
  }

  @Test
  void takesEnvironmentBeforeFileOfGateway() throws Exception {
    GatewayConfig config =
        GatewayConfig.fromEnvironment(
            Map.of(
                "BALANCER_CONFIG", copy("gateway-full.json").toString(),
                "BALANCER_NAME", "other",
                "BALANCER_LISTEN", "127.0.0.2:1",
                "BALANCER_DISCOVERY", "127.0.0.3:2"));
    assertEquals("other", config.name());
    assertEquals(new InetSocketAddress("127.0.0.2", 1), config.listen());
    assertEquals(new InetSocketAddress("127.0.0.3", 2), config.discovery());
  }

  private static Settings settings(String json) throws Exception {
    return SettingsReader.read(Json.object(json));
  }

  @Test
  void readsEveryWordOfGatewaySettings() throws Exception {
    for (Map.Entry<String, LagCheck> word :
        Map.of("silent", LagCheck.NONE, "refuse", LagCheck.REFUSE, "wait", LagCheck.WAIT)
            .entrySet()) {
      String json = "{\"familyInfo\":{\"checks\":\"" + word.getKey() + "\"}}";
      assertEquals(word.getValue(), settings(json).check(), json);
    }
    for (Map.Entry<String, ListRole> word :
        Map.of("silent", ListRole.NONE, "start", ListRole.AT_START, "late", ListRole.LATE)
            .entrySet()) {
      String json = "{\"familyInfo\":{\"roleInList\":\"" + word.getKey() + "\"}}";
      assertEquals(word.getValue(), settings(json).listRole(), json);
    }
    for (Map.Entry<String, ReportSource> word :
        Map.of("silent", ReportSource.NONE, "piggyback", ReportSource.ANSWERS, "pull",
            ReportSource.PROBES).entrySet()) {
      String json = "{\"loadInfo\":{\"source\":\"" + word.getKey() + "\"}}";
      assertEquals(word.getValue(), settings(json).reports(), json);
    }
    for (Map.Entry<String, Boolean> word : Map.of("ask", true, "push", false).entrySet()) {
      String json = "{\"membershipMode\":\"" + word.getKey() + "\"}";
      assertEquals(word.getValue(), settings(json).listAsked(), json);
    }
    for (Map.Entry<String, Boolean> word :
        Map.of("carried", true, "remembered", false).entrySet()) {
      String json = "{\"familyInfo\":{\"sessionMarks\":\"" + word.getKey() + "\"}}";
      assertEquals(word.getValue(), settings(json).tokensCarried(), json);
    }
    assertEquals(99, SettingsReader.zero(Json.object("{\"familyInfo\":{\"zero\":99}}")));
  }

  // ---- A hosted gateway -------------------------------------------------------------------------

  @Test
  void readsSampleOfHostedGateway() throws Exception {
    HostedConfig config = hosted("shelffront.jsonnet");
    assertEquals(
        new HostedConfig(
            new InetSocketAddress("127.0.0.1", 5433),
            new InetSocketAddress("127.0.0.1", 8600),
            Path.of("shelffront.store"),
            1, 1024, 64 * MEBIBYTE, 2000, 1000, config.tenants()),
        config);
    List<TenantSpec> tenants = tenants(config);
    assertEquals(1, tenants.size());
    assertEquals("airport", tenants.get(0).id());
    assertEquals(2, tenants.get(0).weight());
    assertEquals(DISCOVERY, tenants.get(0).discovery());
    assertLibraryTenant(tenants.get(0));
  }

  @Test
  void readsSampleOfFleet() throws Exception {
    HostedConfig config = hosted("fleet.jsonnet");
    assertEquals(
        new HostedConfig(
            new InetSocketAddress("127.0.0.1", 5433),
            new InetSocketAddress("127.0.0.1", 8600),
            null, 1, 1024, 64 * MEBIBYTE, 0, 2000, config.tenants(),
            new StagesConfig("127.0.0.1", 8500, "maps", "g1",
                new Bounds(6_000_000, 3_000_000, 0.01, 6_000_000),
                Map.of("drill", List.of("closed", "half", "open")), 2, null),
            null),
        config);
    List<TenantSpec> tenants = tenants(config);
    assertEquals(1, tenants.size());
    assertEquals("airport", tenants.get(0).id());
    assertEquals(1, tenants.get(0).weight());
    assertEquals(DISCOVERY, tenants.get(0).discovery());
    assertLibraryTenant(tenants.get(0));
  }

  @Test
  void readsSampleOfDistribution() throws Exception {
    HostedConfig config = hosted("distribution.jsonnet");
    assertEquals(
        new HostedConfig(
            new InetSocketAddress("127.0.0.1", 5433),
            new InetSocketAddress("127.0.0.1", 8600),
            null, 1, 1024, 64 * MEBIBYTE, 0, 2000, List.of(), null,
            new FleetRecordsConfig("g1", "maps", "west", "west-a",
                List.of(new Endpoint("127.0.0.1:9101", "west", "west-a"),
                    new Endpoint("127.0.0.1:9102", "west", "west-b")),
                new InetSocketAddress("127.0.0.1", 8500),
                Path.of("/var/lib/shelffront/last-known-good.json"), Timings.STANDARD, 6_000_000,
                14_000_000)),
        config);
  }

  @Test
  void readsEverySettingOfHostedGatewayAndFleet() throws Exception {
    HostedConfig config = hosted("hosted-full.jsonnet");
    assertEquals(
        new HostedConfig(
            new InetSocketAddress("127.0.0.1", 15_433),
            new InetSocketAddress("::1", 18_600),
            Path.of("/var/lib/shelffront/tenants.store"),
            3, 4096, 96 * MEBIBYTE, 2500.5, 1234, config.tenants(),
            new StagesConfig("engine.example", 8500, "maps", "g_1",
                new Bounds(4_500_000, 2_500_000, 0.02, 9_000_000),
                Map.of("drill", List.of("closed", "half", "open"),
                    "valve", List.of("shut", "wide")),
                5, Path.of("/var/lib/shelffront/stages.jsonl")),
            null),
        config);
    List<TenantSpec> tenants = tenants(config);
    assertEquals(List.of("airport", "harbour"), tenants.stream().map(TenantSpec::id).toList());
    assertEquals(List.of(2.0, 0.5), tenants.stream().map(TenantSpec::weight).toList());
    assertEquals(
        List.of(DISCOVERY, new InetSocketAddress("127.0.0.1", 8501)),
        tenants.stream().map(TenantSpec::discovery).toList());
    tenants.forEach(ConfigurationCompatibilityTest::assertLibraryTenant);
  }

  @Test
  void readsEverySettingOfDistribution() throws Exception {
    HostedConfig config = hosted("distribution-full.jsonnet");
    assertNull(config.admin());
    assertEquals(
        new FleetRecordsConfig("g1", "maps", "west", "west-a",
            List.of(new Endpoint("127.0.0.1:9101", "west", "west-a"),
                new Endpoint("127.0.0.1:9102", "", "")),
            new InetSocketAddress("127.0.0.1", 8500),
            Path.of("/var/lib/shelffront/last-known-good.json"), Timings.STANDARD, 7_000_000,
            20_000_000),
        config.distribution());
  }

  @Test
  void readsDistributorThatFollowsTheEngine() throws Exception {
    JsonNode settings = evaluated("distributor.jsonnet");
    ObjectNode withoutListen = settings.deepCopy();
    withoutListen.remove("listen");
    assertEquals(
        new FleetRecordsConfig("d1", "maps", "west", "west-a", List.of(), DISCOVERY, null,
            Timings.STANDARD, 7_000_000, 20_000_000),
        FleetRecordsConfig.read(withoutListen, ""));
    try (DistributorRole role = DistributorRole.read(settings, line -> {})) {
      assertTrue(role.address().getAddress().isLoopbackAddress());
      assertTrue(role.address().getPort() > 0);
    }
  }

  // ---- Tenants ----------------------------------------------------------------------------------

  @Test
  void readsEverySettingOfTenant() throws Exception {
    TenantSpec spec = SpecJson.read(evaluated("tenant-list.jsonnet"));
    assertEquals("airport", spec.id());
    assertEquals(2.5, spec.weight());
    assertArrayEquals(new double[] {4, 3, 1, 0.5, 2, 1.5}, spec.shares());
    assertEquals(new TenantSpec.Bounds(300, 45, 150, 90, 48, 4 * MEBIBYTE), spec.bounds());
    assertEquals(
        new Settings(0, 4, "", 1_000,
            List.of(
                new ClassSettings("map-read", 600_000, 1_200_000, 2, 0.25, Effect.REPEATABLE,
                    Scope.GROUP, 0, Read.BOUNDED, 500_000),
                new ClassSettings("own-read", 1_000_000, 2_000_000, 3, 0, Effect.REPEATABLE,
                    Scope.GROUP, 0, Read.SESSION, 0),
                new ClassSettings("live-read", 700_000, 1_500_000, 1, 0, Effect.REPEATABLE,
                    Scope.GROUP, 0, Read.FRESH, 0),
                new ClassSettings("old-read", 900_000, 900_000, 1, 0, Effect.REPEATABLE,
                    Scope.GROUP, 0, Read.ANY, 0),
                new ClassSettings("map-write", 1_500_000, 3_000_000, 6, 0.7, Effect.KEYED,
                    Scope.GROUP, 2_000_000, Read.WRITE, 0),
                new ClassSettings("log-write", 2_500_000, 2_500_000, 1, 0, Effect.ONCE,
                    Scope.GROUP, 0, Read.WRITE, 0)),
            LagCheck.REFUSE, 80_000, false, false, ListRole.AT_START, false, ReportSource.PROBES,
            TENANT_RULES,
            new Limits(5, 2_000_000, true, true, false, true, false, 300_000, 12_000_000), 0, 0),
        spec.settings());
    assertEquals(new Login("maps", "airport_db"), spec.login());
    assertNull(spec.discovery());
    assertEquals(
        new MemberList(0, true,
            List.of(
                new Member("box_1", "large", "a", 7, 2, 0, true, Availability.LIVE),
                new Member("box-2", "small", "b", 7, 0.5, 0, false, Availability.LIVE),
                new Member("box.3", "", "", 0, 1, 0, false, Availability.LIVE)),
            Map.of("box_1", new InetSocketAddress("10.0.0.1", 5432),
                "box-2", new InetSocketAddress("fe80::2", 5433),
                "box.3", new InetSocketAddress("10.0.0.3", 5434))),
        spec.boxes());
    assertEquals(Set.of("box.3"), spec.drained());
    assertEquals(1, spec.credentials().size());
    assertEquals("reader", spec.credentials().get(0).user());
    assertArrayEquals(
        HexFormat.of()
            .parseHex("00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"),
        spec.credentials().get(0).hash());
    assertEquals(7_000_000, spec.grace());
  }

  @Test
  void readsTenantWithNothingButWhatItMustHave() throws Exception {
    TenantSpec spec = SpecJson.read(evaluated("tenant-discovery.jsonnet"));
    assertEquals("harbour", spec.id());
    assertEquals(1, spec.weight());
    assertEquals(DISCOVERY, spec.discovery());
    assertEquals(new TenantSpec.Bounds(0, 1, 200, 100, 64, 8 * MEBIBYTE), spec.bounds());
    assertEquals(
        plainSettings(
            List.of(
                new ClassSettings("read", 1_200_000, 1_200_000, 1, 0, Effect.REPEATABLE,
                    Scope.GROUP, 0, Read.SESSION, 0),
                new ClassSettings("write", 2_400_000, 2_400_000, 1, 0, Effect.ONCE, Scope.GROUP,
                    0, Read.WRITE, 0))),
        spec.settings());
    assertEquals(new Login("shelffront", "harbour"), spec.login());
    assertEquals(MemberList.empty(), spec.boxes());
    assertEquals(Set.of(), spec.drained());
    assertEquals(List.of(), spec.credentials());
    assertEquals(0, spec.shares().length);
    assertEquals(5_000_000, spec.grace());
  }
}
