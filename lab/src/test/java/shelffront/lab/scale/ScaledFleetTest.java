package shelffront.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import shelffront.distribution.Version;
import shelffront.lab.faultinjection.FaultProxy;
import shelffront.lab.scale.DistributionHistoryChecker.Acknowledged;
import shelffront.lab.scale.DistributionHistoryChecker.Cut;
import shelffront.tenant.TenantSpecCodec;

/** Runs a small fleet of processes, and verifies that the history checker detects violations. */
class ScaledFleetTest {

  private static final long SECOND_MICROS = 1_000_000;
  private static final long BOUND_MICROS = 14 * SECOND_MICROS;

  @Test
  void meetsEveryRequirementWithHundredGateways() {
    assertEquals(
        0,
        new CommandLine(new FleetScale())
            .execute(
                "--gateways",
                "100",
                "--hosts",
                "500",
                "--regions",
                "2",
                "--zones",
                "2",
                "--real",
                "1",
                "--seconds",
                "6",
                "--idle-seconds",
                "2",
                "--names",
                "20"));
  }

  @Test
  void keepsHistoriesConsistentUnderRandomFaults() {
    assertEquals(
        0,
        new CommandLine(new DistributionExplore())
            .execute("--seeds", "1", "--from", "1", "--steps", "2"));
  }

  /** Administers a tenant at one gateway while clients connect to another. */
  @Test
  void servesTenantThatAnotherGatewayAdministers(@TempDir Path directory) throws Exception {
    ScaledFleet.Size size = new ScaledFleet.Size(1, 5, 3, 1, 1, 2, 0, 1);
    try (ScaledFleet fleet = new ScaledFleet(directory, size)) {
      fleet.start();
      String other = fleet.clientAddress(1);
      assertFalse(ClientProbe.isServed(other, "new"));
      ScaledFleet.await(
          "the administration APIs of both gateways have reached the coordination store",
          () -> reachesStore(fleet, 0) && reachesStore(fleet, 1));
      String document = SyntheticTenants.document("new", 1).toString();
      HttpResponse<String> created = fleet.administer(0, "POST", "/v1/tenants", 0, document);
      assertEquals(201, created.statusCode(), created.body());
      ScaledFleet.await(
          "clients of the new tenant are served", () -> ClientProbe.isServed(other, "new"));
      long revision = TenantSpecCodec.JSON.readTree(created.body()).path("revision").asLong();
      assertEquals(
          412, fleet.administer(1, "PUT", "/v1/tenants/new", revision - 1, document).statusCode());
      HttpResponse<String> changed =
          fleet.administer(1, "PUT", "/v1/tenants/new", revision, document);
      assertEquals(200, changed.statusCode(), changed.body());
      ScaledFleet.await(
          "the change is in force at the gateway that accepted it",
          () -> inForce(fleet, revision + 1));
      assertEquals(
          202, fleet.administer(0, "DELETE", "/v1/tenants/new", revision + 1, "").statusCode());
      ScaledFleet.await(
          "clients of the deleted tenant are rejected", () -> !ClientProbe.isServed(other, "new"));
    }
  }

  private static boolean reachesStore(ScaledFleet fleet, int gateway) {
    try {
      return fleet.administer(gateway, "GET", "/v1/tenants/common", 0, "").statusCode() == 200;
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static boolean inForce(ScaledFleet fleet, long revision) {
    try {
      String changes =
          fleet.administer(1, "GET", "/v1/changes?after=" + (revision - 1), 0, "").body();
      return TenantSpecCodec.JSON.readTree(changes).path("changes").path(0).path("inForce").asLong()
          > 0;
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Guards against a snapshot that never completes: a transfer longer than the silence timeout of
   * 2.1 s was aborted and restarted each time.
   */
  @Test
  void deliversSnapshotSlowerThanSilenceTimeout(@TempDir Path directory) throws Exception {
    ScaledFleet.Size size = new ScaledFleet.Size(1, 2500, 3, 1, 1, 0, 0, 1);
    List<FaultProxy> proxies = new ArrayList<>();
    ScaledFleet.AddressTranslator slow =
        (from, target, address) -> {
          if (!target.startsWith("r")) {
            return address;
          }
          String[] hostAndPort = address.split(":");
          FaultProxy proxy =
              new FaultProxy(
                  new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])));
          proxy.slow(20, 16 << 10); // 0.8 MB/s for a snapshot of 2.4 MB
          proxies.add(proxy);
          return proxy.address();
        };
    try (ScaledFleet fleet = new ScaledFleet(directory, size, slow, false)) {
      fleet.start();
      assertEquals(1, fleet.terminateHollowGateways().size());
    } finally {
      for (FaultProxy proxy : proxies) {
        proxy.close();
      }
    }
  }

  private static List<String> violations(
      List<Cut> cuts, List<Acknowledged> changes, String... lines) {
    DistributionHistoryChecker histories = new DistributionHistoryChecker();
    histories.add("z0", List.of(lines));
    histories.check("n", List.of("g"), changes, cuts, BOUND_MICROS);
    return histories.violations();
  }

  private static Acknowledged change(long sequence, long acknowledgedAt) {
    return new Acknowledged("n", new Version(1, sequence), false, acknowledgedAt);
  }

  @Test
  void detectsLateLostAndSteppedBackChanges() {
    List<Acknowledged> changes = List.of(change(1, SECOND_MICROS), change(2, 2 * SECOND_MICROS));
    assertEquals(List.of(), violations(List.of(), changes, "1100000 g n 1 1", "2100000 g n 1 2"));
    assertEquals(
        List.of(),
        violations(List.of(), changes, "2100000 g n 1 2"),
        "the later change covers both");
    assertFalse(
        violations(List.of(), changes, "1100000 g n 1 1").isEmpty(), "the second change was lost");
    assertFalse(
        violations(List.of(), changes, "1100000 g n 1 1", "17000000 g n 1 2").isEmpty(),
        "the second change was late");
    assertTrue(
        violations(List.of(), changes, "1 g n 1 2", "2 g n 1 1")
            .get(0)
            .startsWith("version regression"));
    assertEquals(
        List.of(),
        violations(
            List.of(),
            changes,
            "1 life begins",
            "5 g n 1 2",
            "6 life begins",
            "7 g n 1 1",
            "8 g n 1 2"),
        "a restarted process begins with its saved state");
  }

  @Test
  void extendsBoundByCutForItsZoneAlone() {
    List<Acknowledged> changes = List.of(change(1, SECOND_MICROS));
    Cut own = new Cut("z0", SECOND_MICROS / 2, 20 * SECOND_MICROS);
    Cut other = new Cut("z1", SECOND_MICROS / 2, 20 * SECOND_MICROS);
    assertEquals(List.of(), violations(List.of(own), changes, "33000000 g n 1 1"));
    assertFalse(violations(List.of(own), changes, "35000000 g n 1 1").isEmpty());
    assertFalse(violations(List.of(other), changes, "33000000 g n 1 1").isEmpty());
  }

  @Test
  void detectsRemovedRecordThatStaysInForce() {
    Acknowledged removal = new Acknowledged("n", new Version(1, 2), true, 2 * SECOND_MICROS);
    assertEquals(
        List.of(),
        violations(
            List.of(),
            List.of(change(1, SECOND_MICROS), removal),
            "1100000 g n 1 1",
            "2100000 g n"));
    assertFalse(
        violations(List.of(), List.of(change(1, SECOND_MICROS), removal), "1100000 g n 1 1")
            .isEmpty());
  }
}
