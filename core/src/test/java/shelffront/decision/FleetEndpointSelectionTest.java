package shelffront.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.LagCheck;
import shelffront.routing.Role;

/** A hundred instances that know of each other only their number: what they choose adds up. */
class FleetEndpointSelectionTest {

  private static final int INSTANCES = 100;
  private static final List<String> HOSTS = List.of("m1", "m2", "m3", "m4", "m5");

  private static RoutingTestHarness bed(int self, int instances) {
    RoutingTestHarness bed = new RoutingTestHarness();
    bed.self = self;
    bed.routers = instances;
    return bed.bare(HOSTS.toArray(String[]::new));
  }

  private static void heard(RoutingTestHarness bed) {
    for (String host : HOSTS) {
      bed.probed(host, host.equals("m1") ? Role.PRIMARY : Role.REPLICA, bed.now);
    }
    bed.news();
  }

  /** The member that a read goes to, served at once; empty when it is held. */
  private static String served(RoutingTestHarness bed, String id) {
    bed.request(id, RoutingTestHarness.ANY);
    List<String> sent = bed.news().stream().filter(l -> l.startsWith("send " + id)).toList();
    if (sent.isEmpty()) {
      return "";
    }
    String member = sent.get(0).split(" ")[2];
    bed.pass(50 * RoutingTestHarness.MS);
    bed.outcome(id, 0, member, AttemptStatus.OK, Role.REPLICA);
    return member;
  }

  @Test
  void eachInstanceKeepsToItsOwnReplicasAndTheFleetSharesThemEvenly() {
    Map<String, Integer> users = new TreeMap<>();
    for (int self = 0; self < INSTANCES; self++) {
      RoutingTestHarness bed = bed(self, INSTANCES);
      heard(bed);
      Set<String> used = new HashSet<>();
      for (int i = 0; i < 30; i++) {
        bed.request("held" + i, RoutingTestHarness.ANY);
        String first = bed.news().get(0).split(" ")[2];
        used.add(first);
        used.add(served(bed, "r" + i));
        bed.outcome("held" + i, 0, first, AttemptStatus.OK, Role.REPLICA);
        bed.news();
      }
      assertEquals(2, used.size(), used.toString());
      used.forEach(m -> users.merge(m, 1, Integer::sum));
    }
    assertEquals(4, users.size(), users.toString());
    users.forEach((member, count) -> assertTrue(count == 50, users.toString()));
  }

  @Test
  void aSmallFleetUsesEveryReplicaAndAsksThemAtOnce() {
    RoutingTestHarness bed = bed(0, 5);
    assertEquals(5, bed.probes());
    heard(bed);
    Set<String> used = new HashSet<>();
    for (int i = 0; i < 8; i++) {
      bed.request("r" + i, RoutingTestHarness.ANY);
      used.add(bed.news().get(0).split(" ")[2]);
    }
    assertEquals(Set.of("m2", "m3", "m4", "m5"), used);
  }

  @Test
  void theFirstProbesOfAFleetAreDividedAndNoneIsSentBeforeItIsWanted() {
    Map<String, Integer> probes = new TreeMap<>();
    for (int self = 0; self < INSTANCES; self++) {
      RoutingTestHarness bed = bed(self, INSTANCES);
      assertEquals(0, bed.probes(), "a start of all at once");
      bed.request("r", RoutingTestHarness.BOUNDED);
      for (String host : HOSTS) {
        probes.merge(host, (int) bed.probesOf(host), Integer::sum);
      }
    }
    probes.forEach((host, count) -> assertTrue(count <= 60, probes.toString()));
    assertTrue(probes.values().stream().mapToInt(n -> n).sum() >= INSTANCES, probes.toString());
  }

  /**
   * Freshness, roles and health come first: a subset never leaves a request without a member that
   * may serve it.
   */
  @Test
  void whereItsOwnMayNotServeAnyOtherDoes() {
    for (int self = 0; self < 20; self++) {
      RoutingTestHarness bed = bed(self, INSTANCES);
      heard(bed);
      Set<String> own = new HashSet<>();
      for (int i = 0; i < 30; i++) {
        own.add(served(bed, "r" + i));
      }
      for (String member : own) {
        bed.changed(RoutingTestHarness.member(member, 0, Availability.DRAINING));
      }
      String other = served(bed, "after");
      assertFalse(other.isEmpty() || own.contains(other), other);
    }
  }

  @Test
  void aReplicaThatIsFarBehindIsNotAskedAgainAtOnce() {
    RoutingTestHarness bed = new RoutingTestHarness();
    bed.check = LagCheck.REJECT;
    bed.start();
    bed.pass(200 * RoutingTestHarness.MS);
    bed.probed("m2", Role.REPLICA, bed.now - 8_000 * RoutingTestHarness.MS);
    bed.changed(RoutingTestHarness.member("m3", 0, Availability.DRAINING));
    long before = bed.probesOf("m2");
    for (int i = 0; i < 10; i++) {
      bed.request("r" + i, RoutingTestHarness.SESSION, 50 * RoutingTestHarness.MS);
      bed.pass(60 * RoutingTestHarness.MS);
      bed.outcome("r" + i, 0, "m1", AttemptStatus.OK, Role.PRIMARY);
      bed.pass(90 * RoutingTestHarness.MS);
    }
    assertTrue(bed.probesOf("m2") - before <= 1, bed.probesOf("m2") - before + " probes in 1.5 s");
  }
}
