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
import shelffront.backend.BackendConnections.Login;
import shelffront.cli.JsonnetTemplates;
import shelffront.config.EndpointList;
import shelffront.config.GatewayConfig;
import shelffront.config.JsonReader;
import shelffront.config.RoutingSettingsCodec;
import shelffront.controlplane.DistributorProcess;
import shelffront.controlplane.SubscribedRecordsConfig;
import shelffront.distribution.DistributionTimings;
import shelffront.distribution.DistributorEndpoint;
import shelffront.multitenant.MultiTenantConfig;
import shelffront.rollout.LeaseTimings;
import shelffront.rolloutcontrol.RolloutConfig;
import shelffront.routing.Availability;
import shelffront.routing.Consistency;
import shelffront.routing.ConsistencySettings;
import shelffront.routing.DeduplicationScope;
import shelffront.routing.Endpoint;
import shelffront.routing.EndpointListSettings;
import shelffront.routing.GatewayIdentity;
import shelffront.routing.Idempotency;
import shelffront.routing.LagCheck;
import shelffront.routing.ListedRoles;
import shelffront.routing.LoadReportSource;
import shelffront.routing.OperatingLimits;
import shelffront.routing.RequestClass;
import shelffront.routing.RoutingSettings;
import shelffront.routing.SafetyRules;
import shelffront.tenant.TenantSpec;
import shelffront.tenant.TenantSpecCodec;

/** Reads configuration files of each kind with the result that version 0.2.0 has. */
class ConfigurationCompatibilityTest {

  private static final long MEBIBYTE = 1 << 20;
  private static final InetSocketAddress DISCOVERY = new InetSocketAddress("127.0.0.1", 8500);

  /** Rules that a tenant spec does not configure. */
  private static final SafetyRules TENANT_RULES =
      new SafetyRules(2_000_000, 0.21, 18_000_000, 4, 2_000_000, false, 10_000_000, 20_000);

  private static final List<RequestClass> MAP_CLASSES =
      List.of(
          new RequestClass(
              "map-read",
              600_000,
              1_200_000,
              2,
              0,
              Idempotency.IDEMPOTENT,
              DeduplicationScope.REPLICA_SET,
              0,
              Consistency.BOUNDED_STALENESS,
              500_000),
          new RequestClass(
              "own-edit-read",
              1_000_000,
              2_000_000,
              3,
              0,
              Idempotency.IDEMPOTENT,
              DeduplicationScope.REPLICA_SET,
              0,
              Consistency.SESSION,
              0),
          new RequestClass(
              "live-read",
              750_000,
              1_500_000,
              1,
              0,
              Idempotency.IDEMPOTENT,
              DeduplicationScope.REPLICA_SET,
              0,
              Consistency.STRONG,
              0),
          new RequestClass(
              "map-write",
              1_500_000,
              3_000_000,
              6,
              0.7,
              Idempotency.IDEMPOTENCY_KEY,
              DeduplicationScope.REPLICA_SET,
              2_000_000,
              Consistency.WRITE,
              0));

  @TempDir private Path directory;

  private Path copy(String name) throws IOException {
    return StoredResource.copy("config/" + name, directory);
  }

  private JsonNode evaluated(String name) throws Exception {
    return JsonnetTemplates.evaluate(copy(name));
  }

  private MultiTenantConfig hosted(String name) throws Exception {
    copy("shelffront.libsonnet");
    return MultiTenantConfig.read(evaluated(name));
  }

  /** Returns the settings of a tenant spec without {@code hosts}. */
  private static RoutingSettings plainSettings(List<RequestClass> classes) {
    return new RoutingSettings(
        new GatewayIdentity(0, 1, ""),
        1_000,
        classes,
        new ConsistencySettings(LagCheck.WAIT, 100_000, false, false),
        new EndpointListSettings(ListedRoles.LATE, true),
        LoadReportSource.HEALTH_CHECKS,
        TENANT_RULES,
        new OperatingLimits(8, 2_000_000, true, true, false, true, false, 250_000, 30_000_000),
        0,
        0);
  }

  /** Checks the values that the tenant function of {@code shelffront.libsonnet} sets by default. */
  private static void assertLibraryTenant(TenantSpec spec) {
    assertEquals(new TenantSpec.Bounds(0, 1, 200, 100, 64, 8 * MEBIBYTE), spec.bounds());
    assertEquals(plainSettings(MAP_CLASSES), spec.settings());
    assertEquals(new Login("shelffront", spec.id()), spec.login());
    assertEquals(EndpointList.empty(), spec.endpoints());
    assertEquals(Set.of(), spec.drainedEndpoints());
    assertEquals(List.of(), spec.credentials());
    assertEquals(0, spec.classWeights().length);
    assertEquals(5_000_000, spec.graceMicros());
  }

  private static List<TenantSpec> tenants(MultiTenantConfig config) throws Exception {
    List<TenantSpec> specs = new ArrayList<>();
    for (JsonNode tenant : config.tenants()) {
      specs.add(TenantSpecCodec.read(tenant));
    }
    return specs;
  }

  // ---- Single-tenant gateway, configured by the environment ------------------------------------

  @Test
  void readsExampleOfSingleTenantGateway() throws Exception {
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
            new RoutingSettings(
                new GatewayIdentity(0, 1, "a"),
                5_000,
                List.of(
                    new RequestClass(
                        "basket",
                        500_000,
                        2_000_000,
                        3,
                        0,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        5_000_000,
                        Consistency.SESSION,
                        0),
                    new RequestClass(
                        "fresh",
                        500_000,
                        1_500_000,
                        1,
                        0,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        5_000_000,
                        Consistency.STRONG,
                        0),
                    new RequestClass(
                        "order",
                        1_200_000,
                        3_000_000,
                        6,
                        0.7,
                        Idempotency.IDEMPOTENCY_KEY,
                        DeduplicationScope.REPLICA_SET,
                        2_000_000,
                        Consistency.WRITE,
                        0)),
                new ConsistencySettings(LagCheck.WAIT, 100_000, false, false),
                new EndpointListSettings(ListedRoles.LATE, true),
                LoadReportSource.HEALTH_CHECKS,
                new SafetyRules(
                    2_000_000, 0.21, 18_000_000, 4, 2_000_000, false, 10_000_000, 20_000),
                new OperatingLimits(
                    8, 2_000_000, true, true, false, true, false, 250_000, 30_000_000),
                0,
                0.01),
            EndpointList.empty(),
            192L << 20),
        config);
  }

  @Test
  void readsEverySettingOfSingleTenantGateway() throws Exception {
    GatewayConfig config =
        GatewayConfig.fromEnvironment(
            Map.of("BALANCER_CONFIG", copy("gateway-full.json").toString()));
    assertEquals("n3", config.name());
    assertEquals(new InetSocketAddress("127.0.0.1", 15_433), config.listenAddress());
    assertEquals(new InetSocketAddress("127.0.0.1", 18_500), config.discoveryAddress());
    assertEquals(0xfedcba9876543210L, config.seed());
    assertEquals(2048, config.maxSockets());
    assertEquals(321, config.maxOpenRequests());
    assertEquals(
        new RoutingSettings(
            new GatewayIdentity(3, 4, "b"),
            7_000,
            List.of(
                new RequestClass(
                    "edit",
                    1_200_000,
                    3_000_000,
                    6,
                    0.7,
                    Idempotency.IDEMPOTENCY_KEY,
                    DeduplicationScope.REPLICA_SET,
                    2_000_000,
                    Consistency.WRITE,
                    0),
                new RequestClass(
                    "fresh",
                    500_000,
                    1_500_000,
                    1,
                    0.1,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    5_000_000,
                    Consistency.STRONG,
                    0),
                new RequestClass(
                    "own",
                    600_000,
                    1_600_000,
                    2,
                    0.2,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ZONE,
                    0,
                    Consistency.SESSION,
                    0),
                new RequestClass(
                    "old",
                    700_000,
                    1_700_000,
                    3,
                    0.3,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    Consistency.BOUNDED_STALENESS,
                    450_000),
                new RequestClass(
                    "any",
                    800_000,
                    1_800_000,
                    4,
                    0.4,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    Consistency.EVENTUAL,
                    0),
                new RequestClass(
                    "pay",
                    900_000,
                    1_900_000,
                    5,
                    0.5,
                    Idempotency.NON_IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    Consistency.WRITE,
                    0)),
            new ConsistencySettings(LagCheck.REJECT, 60_000, true, true),
            new EndpointListSettings(ListedRoles.AT_START, true),
            LoadReportSource.RESPONSES,
            new SafetyRules(1_500_000, 0.25, 17_000_000, 2.5, 3_000_000, true, 9_000_000, 25_000),
            new OperatingLimits(5, 1_200_000, true, true, true, true, true, 400_000, 8_000_000),
            0.125,
            0.01),
        config.settings());
    assertEquals(
        new EndpointList(
            17,
            true,
            List.of(
                new Endpoint("b1", "large", "a", 4, 1.5, 1_234_000, true, Availability.READY),
                new Endpoint("b2", "small", "b", 4, 0.5, 0, false, Availability.DRAINING),
                new Endpoint("b3", "", "", 0, 1, 0, false, Availability.REMOVED)),
            Map.of(
                "b1",
                new InetSocketAddress("10.0.0.1", 5432),
                "b2",
                new InetSocketAddress("10.0.0.2", 5432))),
        config.knownEndpoints());
  }

  @Test
  void environmentTakesPrecedenceOverFile() throws Exception {
    GatewayConfig config =
        GatewayConfig.fromEnvironment(
            Map.of(
                "BALANCER_CONFIG", copy("gateway-full.json").toString(),
                "BALANCER_NAME", "other",
                "BALANCER_LISTEN", "127.0.0.2:1",
                "BALANCER_DISCOVERY", "127.0.0.3:2"));
    assertEquals("other", config.name());
    assertEquals(new InetSocketAddress("127.0.0.2", 1), config.listenAddress());
    assertEquals(new InetSocketAddress("127.0.0.3", 2), config.discoveryAddress());
  }

  private static RoutingSettings settings(String json) throws Exception {
    return RoutingSettingsCodec.read(JsonReader.parseObject(json));
  }

  @Test
  void readsEveryEnumValueOfRoutingSettings() throws Exception {
    for (Map.Entry<String, LagCheck> word :
        Map.of("silent", LagCheck.NONE, "refuse", LagCheck.REJECT, "wait", LagCheck.WAIT)
            .entrySet()) {
      String json = "{\"familyInfo\":{\"checks\":\"" + word.getKey() + "\"}}";
      assertEquals(word.getValue(), settings(json).consistency().lagCheck(), json);
    }
    for (Map.Entry<String, ListedRoles> word :
        Map.of("silent", ListedRoles.NONE, "start", ListedRoles.AT_START, "late", ListedRoles.LATE)
            .entrySet()) {
      String json = "{\"familyInfo\":{\"roleInList\":\"" + word.getKey() + "\"}}";
      assertEquals(word.getValue(), settings(json).endpointList().listedRoles(), json);
    }
    for (Map.Entry<String, LoadReportSource> word :
        Map.of(
                "silent",
                LoadReportSource.NONE,
                "piggyback",
                LoadReportSource.RESPONSES,
                "pull",
                LoadReportSource.HEALTH_CHECKS)
            .entrySet()) {
      String json = "{\"loadInfo\":{\"source\":\"" + word.getKey() + "\"}}";
      assertEquals(word.getValue(), settings(json).loadReportSource(), json);
    }
    for (Map.Entry<String, Boolean> word : Map.of("ask", true, "push", false).entrySet()) {
      String json = "{\"membershipMode\":\"" + word.getKey() + "\"}";
      assertEquals(word.getValue(), settings(json).endpointList().polled(), json);
    }
    for (Map.Entry<String, Boolean> word :
        Map.of("carried", true, "remembered", false).entrySet()) {
      String json = "{\"familyInfo\":{\"sessionMarks\":\"" + word.getKey() + "\"}}";
      assertEquals(word.getValue(), settings(json).consistency().clientsCarryPosition(), json);
    }
    assertEquals(
        99,
        RoutingSettingsCodec.positionZeroMicros(
            JsonReader.parseObject("{\"familyInfo\":{\"zero\":99}}")));
  }

  // ---- Multi-tenant gateway ---------------------------------------------------------------------

  @Test
  void readsSampleOfMultiTenantGateway() throws Exception {
    MultiTenantConfig config = hosted("shelffront.jsonnet");
    assertEquals(
        new MultiTenantConfig(
            new InetSocketAddress("127.0.0.1", 5433),
            new InetSocketAddress("127.0.0.1", 8600),
            Path.of("shelffront.store"),
            1,
            1024,
            64 * MEBIBYTE,
            new MultiTenantConfig.Capacity(2000, 1000),
            config.tenants()),
        config);
    List<TenantSpec> tenants = tenants(config);
    assertEquals(1, tenants.size());
    assertEquals("airport", tenants.get(0).id());
    assertEquals(2, tenants.get(0).weight());
    assertEquals(DISCOVERY, tenants.get(0).discoveryAddress());
    assertLibraryTenant(tenants.get(0));
  }

  @Test
  void readsSampleOfFleet() throws Exception {
    MultiTenantConfig config = hosted("fleet.jsonnet");
    assertEquals(
        new MultiTenantConfig(
            new InetSocketAddress("127.0.0.1", 5433),
            new InetSocketAddress("127.0.0.1", 8600),
            null,
            1,
            1024,
            64 * MEBIBYTE,
            new MultiTenantConfig.Capacity(0, 2000),
            config.tenants(),
            new RolloutConfig(
                "127.0.0.1",
                8500,
                "maps",
                "g1",
                new LeaseTimings(6_000_000, 3_000_000, 0.01, 6_000_000),
                Map.of("drill", List.of("closed", "half", "open")),
                2,
                null),
            null),
        config);
    List<TenantSpec> tenants = tenants(config);
    assertEquals(1, tenants.size());
    assertEquals("airport", tenants.get(0).id());
    assertEquals(1, tenants.get(0).weight());
    assertEquals(DISCOVERY, tenants.get(0).discoveryAddress());
    assertLibraryTenant(tenants.get(0));
  }

  @Test
  void readsSampleOfDistribution() throws Exception {
    MultiTenantConfig config = hosted("distribution.jsonnet");
    assertEquals(
        new MultiTenantConfig(
            new InetSocketAddress("127.0.0.1", 5433),
            new InetSocketAddress("127.0.0.1", 8600),
            null,
            1,
            1024,
            64 * MEBIBYTE,
            new MultiTenantConfig.Capacity(0, 2000),
            List.of(),
            null,
            new SubscribedRecordsConfig(
                "g1",
                "maps",
                "west",
                "west-a",
                List.of(
                    new DistributorEndpoint("127.0.0.1:9101", "west", "west-a"),
                    new DistributorEndpoint("127.0.0.1:9102", "west", "west-b")),
                new InetSocketAddress("127.0.0.1", 8500),
                Path.of("/var/lib/shelffront/last-known-good.json"),
                DistributionTimings.STANDARD,
                6_000_000,
                14_000_000)),
        config);
  }

  @Test
  void readsEverySettingOfMultiTenantGatewayAndFleet() throws Exception {
    MultiTenantConfig config = hosted("hosted-full.jsonnet");
    assertEquals(
        new MultiTenantConfig(
            new InetSocketAddress("127.0.0.1", 15_433),
            new InetSocketAddress("::1", 18_600),
            Path.of("/var/lib/shelffront/tenants.store"),
            3,
            4096,
            96 * MEBIBYTE,
            new MultiTenantConfig.Capacity(2500.5, 1234),
            config.tenants(),
            new RolloutConfig(
                "engine.example",
                8500,
                "maps",
                "g_1",
                new LeaseTimings(4_500_000, 2_500_000, 0.02, 9_000_000),
                Map.of(
                    "drill", List.of("closed", "half", "open"), "valve", List.of("shut", "wide")),
                5,
                Path.of("/var/lib/shelffront/stages.jsonl")),
            null),
        config);
    List<TenantSpec> tenants = tenants(config);
    assertEquals(List.of("airport", "harbour"), tenants.stream().map(TenantSpec::id).toList());
    assertEquals(List.of(2.0, 0.5), tenants.stream().map(TenantSpec::weight).toList());
    assertEquals(
        List.of(DISCOVERY, new InetSocketAddress("127.0.0.1", 8501)),
        tenants.stream().map(TenantSpec::discoveryAddress).toList());
    tenants.forEach(ConfigurationCompatibilityTest::assertLibraryTenant);
  }

  @Test
  void readsEverySettingOfDistribution() throws Exception {
    MultiTenantConfig config = hosted("distribution-full.jsonnet");
    assertNull(config.admin());
    assertEquals(
        new SubscribedRecordsConfig(
            "g1",
            "maps",
            "west",
            "west-a",
            List.of(
                new DistributorEndpoint("127.0.0.1:9101", "west", "west-a"),
                new DistributorEndpoint("127.0.0.1:9102", "", "")),
            new InetSocketAddress("127.0.0.1", 8500),
            Path.of("/var/lib/shelffront/last-known-good.json"),
            DistributionTimings.STANDARD,
            7_000_000,
            20_000_000),
        config.distribution());
  }

  @Test
  void readsDistributorThatSubscribesToTheCoordinationStore() throws Exception {
    JsonNode settings = evaluated("distributor.jsonnet");
    ObjectNode withoutListen = settings.deepCopy();
    withoutListen.remove("listen");
    assertEquals(
        new SubscribedRecordsConfig(
            "d1",
            "maps",
            "west",
            "west-a",
            List.of(),
            DISCOVERY,
            null,
            DistributionTimings.STANDARD,
            7_000_000,
            20_000_000),
        SubscribedRecordsConfig.read(withoutListen, ""));
    try (DistributorProcess role = DistributorProcess.fromSettings(settings, line -> {})) {
      assertTrue(role.address().getAddress().isLoopbackAddress());
      assertTrue(role.address().getPort() > 0);
    }
  }

  // ---- Tenant specs -----------------------------------------------------------------------------

  @Test
  void readsEverySettingOfTenant() throws Exception {
    TenantSpec spec = TenantSpecCodec.read(evaluated("tenant-list.jsonnet"));
    assertEquals("airport", spec.id());
    assertEquals(2.5, spec.weight());
    assertArrayEquals(new double[] {4, 3, 1, 0.5, 2, 1.5}, spec.classWeights());
    assertEquals(new TenantSpec.Bounds(300, 45, 150, 90, 48, 4 * MEBIBYTE), spec.bounds());
    assertEquals(
        new RoutingSettings(
            new GatewayIdentity(0, 4, ""),
            1_000,
            List.of(
                new RequestClass(
                    "map-read",
                    600_000,
                    1_200_000,
                    2,
                    0.25,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.REPLICA_SET,
                    0,
                    Consistency.BOUNDED_STALENESS,
                    500_000),
                new RequestClass(
                    "own-read",
                    1_000_000,
                    2_000_000,
                    3,
                    0,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.REPLICA_SET,
                    0,
                    Consistency.SESSION,
                    0),
                new RequestClass(
                    "live-read",
                    700_000,
                    1_500_000,
                    1,
                    0,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.REPLICA_SET,
                    0,
                    Consistency.STRONG,
                    0),
                new RequestClass(
                    "old-read",
                    900_000,
                    900_000,
                    1,
                    0,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.REPLICA_SET,
                    0,
                    Consistency.EVENTUAL,
                    0),
                new RequestClass(
                    "map-write",
                    1_500_000,
                    3_000_000,
                    6,
                    0.7,
                    Idempotency.IDEMPOTENCY_KEY,
                    DeduplicationScope.REPLICA_SET,
                    2_000_000,
                    Consistency.WRITE,
                    0),
                new RequestClass(
                    "log-write",
                    2_500_000,
                    2_500_000,
                    1,
                    0,
                    Idempotency.NON_IDEMPOTENT,
                    DeduplicationScope.REPLICA_SET,
                    0,
                    Consistency.WRITE,
                    0)),
            new ConsistencySettings(LagCheck.REJECT, 80_000, false, false),
            new EndpointListSettings(ListedRoles.AT_START, false),
            LoadReportSource.HEALTH_CHECKS,
            TENANT_RULES,
            new OperatingLimits(5, 2_000_000, true, true, false, true, false, 300_000, 12_000_000),
            0,
            0),
        spec.settings());
    assertEquals(new Login("maps", "airport_db"), spec.login());
    assertNull(spec.discoveryAddress());
    assertEquals(
        new EndpointList(
            0,
            true,
            List.of(
                new Endpoint("box_1", "large", "a", 7, 2, 0, true, Availability.READY),
                new Endpoint("box-2", "small", "b", 7, 0.5, 0, false, Availability.READY),
                new Endpoint("box.3", "", "", 0, 1, 0, false, Availability.READY)),
            Map.of(
                "box_1",
                new InetSocketAddress("10.0.0.1", 5432),
                "box-2",
                new InetSocketAddress("fe80::2", 5433),
                "box.3",
                new InetSocketAddress("10.0.0.3", 5434))),
        spec.endpoints());
    assertEquals(Set.of("box.3"), spec.drainedEndpoints());
    assertEquals(1, spec.credentials().size());
    assertEquals("reader", spec.credentials().get(0).user());
    assertArrayEquals(
        HexFormat.of().parseHex("00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"),
        spec.credentials().get(0).keyHash());
    assertEquals(7_000_000, spec.graceMicros());
  }

  @Test
  void readsTenantWithOnlyTheRequiredSettings() throws Exception {
    TenantSpec spec = TenantSpecCodec.read(evaluated("tenant-discovery.jsonnet"));
    assertEquals("harbour", spec.id());
    assertEquals(1, spec.weight());
    assertEquals(DISCOVERY, spec.discoveryAddress());
    assertEquals(new TenantSpec.Bounds(0, 1, 200, 100, 64, 8 * MEBIBYTE), spec.bounds());
    assertEquals(
        plainSettings(
            List.of(
                new RequestClass(
                    "read",
                    1_200_000,
                    1_200_000,
                    1,
                    0,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.REPLICA_SET,
                    0,
                    Consistency.SESSION,
                    0),
                new RequestClass(
                    "write",
                    2_400_000,
                    2_400_000,
                    1,
                    0,
                    Idempotency.NON_IDEMPOTENT,
                    DeduplicationScope.REPLICA_SET,
                    0,
                    Consistency.WRITE,
                    0))),
        spec.settings());
    assertEquals(new Login("shelffront", "harbour"), spec.login());
    assertEquals(EndpointList.empty(), spec.endpoints());
    assertEquals(Set.of(), spec.drainedEndpoints());
    assertEquals(List.of(), spec.credentials());
    assertEquals(0, spec.classWeights().length);
    assertEquals(5_000_000, spec.graceMicros());
  }
}
