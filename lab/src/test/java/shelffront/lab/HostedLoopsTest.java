package shelffront.lab;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import shelffront.lab.emulator.EmulatedReplicaSet;
import shelffront.multitenant.MultiTenantGateway;
import shelffront.net.Counters;
import shelffront.pg.Message;
import shelffront.tenant.ApiKeys;

/**
 * Repeats the tests of one event loop on three loops, and covers what needs several: connections
 * that are handed over between loops and tenants that move.
 */
class HostedLoopsTest extends HostedTenantsTest {

  @Override
  int cores() {
    return 3;
  }

  private int loopOf(String id) throws Exception {
    return gateway.loopOf(id).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private ObjectNode[] threeTenants(EmulatedReplicaSet replicaSet) {
    return new ObjectNode[] {
      tenant("a", replicaSet), tenant("b", replicaSet), tenant("c", replicaSet)
    };
  }

  @Test
  void servesTenantsOnDifferentLoops() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 1);
    start(threeTenants(replicaSet));
    List<Integer> loops = new ArrayList<>();
    for (String id : List.of("a", "b", "c")) {
      loops.add(loopOf(id));
      Client client = new Client(id, null);
      assertEquals(List.of(), client.answers());
      client.send(id + 1, "read");
      assertEquals(List.of(id + 1), client.answers());
    }
    assertEquals(List.of(0, 1, 2), loops.stream().sorted().toList());
  }

  /** Requests sent in one packet with the startup must be handed over to the other loop with it. */
  @Test
  void keepsRequestSentWithStartupInHandOver() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 1);
    start(threeTenants(replicaSet));
    for (int i = 0; i < 150; i++) {
      String id = List.of("a", "b", "c").get(i % 3);
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes(Message.startup("api", id));
      all.writeBytes(query("q" + i, "write"));
      all.writeBytes(query("r" + i, "read"));
      Client client = new Client(all.toByteArray());
      assertEquals(List.of(), client.answers());
      assertEquals(List.of("q" + i), client.answers());
      assertEquals(List.of("r" + i), client.answers());
      client.close();
    }
    assertEquals(150, replicaSet.effects().size());
    assertTrue(
        replicaSet.effects().values().stream().allMatch(count -> count.get() == 1),
        "a write took effect more than once");
  }

  /**
   * The startup is split at every byte; its first part arrives with an encryption request, before
   * the refusal has been sent.
   */
  @Test
  void handsOverStartupInPieces() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 1);
    start(threeTenants(replicaSet));
    byte[] startup = Message.startup("api", "c");
    for (int cut = 1; cut < startup.length; cut++) {
      try (Socket socket =
          new Socket(InetAddress.getLoopbackAddress(), gateway.address().getPort())) {
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        byte[] first = new byte[8 + cut];
        System.arraycopy(HexFormat.of().parseHex("0000000804d2162f"), 0, first, 0, 8);
        System.arraycopy(startup, 0, first, 8, cut);
        socket.getOutputStream().write(first);
        assertEquals('N', socket.getInputStream().read());
        socket.getOutputStream().write(startup, cut, startup.length - cut);
        assertEquals('R', socket.getInputStream().read());
      }
    }
  }

  @Test
  void checksKeyOnLoopOfTenant() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 1);
    String key = ApiKeys.generate();
    ObjectNode[] tenants = threeTenants(replicaSet);
    tenants[2]
        .putArray("credentials")
        .addObject()
        .put("user", "api")
        .put("sha256", HexFormat.of().formatHex(ApiKeys.hash(key)));
    start(tenants);
    Client client = new Client("c", key);
    assertEquals(List.of(), client.answers());
    client.send("r1", "read");
    assertEquals(List.of("r1"), client.answers());
    assertTrue(new Client("c", "wrong").next().contains("3D000"));
    assertTrue(new Client("nobody", "wrong").next().contains("3D000"));
  }

  /**
   * Clients that disconnect or reset at any moment of the hand-over must release their connection
   * slots; a leak would exhaust the listener's limit.
   */
  @Test
  void freesPlacesOfConnectionsThatEndedOnAnotherLoop() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 1);
    start(threeTenants(replicaSet));
    byte[] startup = Message.startup("api", "c");
    for (int i = 0; i < 1200; i++) { // more than the listener's connection limit
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), gateway.address().getPort());
      socket.getOutputStream().write(startup);
      if (i % 3 == 0) {
        socket.setSoLinger(true, 0);
      }
      socket.close();
    }
    Client client = new Client("c", null);
    assertEquals(List.of(), client.answers());
    client.send("r1", "read");
    assertEquals(List.of("r1"), client.answers());
  }

  /**
   * A suspended tenant on a loop that another tenant keeps busy must become active on an idle loop,
   * and its session must still read its own writes there.
   */
  @Test
  void movesWakingTenantOffBusyLoop() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 1);
    ObjectNode[] tenants = new ObjectNode[6];
    for (int i = 0; i < 6; i++) {
      tenants[i] = tenant("t" + i, replicaSet);
    }
    start(tenants);
    String sameLoop = loopOf("t1") == loopOf("t4") ? "t4" : "none";
    assertEquals("t4", sameLoop, "with equal weights, t1 and t4 share a loop");
    Client before = new Client("t4", null);
    assertEquals(List.of(), before.answers());
    before.send("w1", "write");
    assertEquals(List.of("w1"), before.answers());
    before.close();
    int sharedLoop = loopOf("t4");
    // Clients of t1 send without a pause and keep the shared loop busy until t4 has moved.
    List<Client> busy = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      Client client = new Client("t1", null);
      busy.add(client);
      assertEquals(List.of(), client.answers());
    }
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    int round = 0;
    while (loopOf("t4") == sharedLoop) {
      assertTrue(System.nanoTime() < end, "tenant t4 did not move to another loop");
      for (int i = 0; i < 12; i++) {
        byte[] invalid = Message.query("/* no request */ SELECT".getBytes(ISO_8859_1));
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        for (int k = 0; k < 200; k++) {
          batch.writeBytes(invalid);
        }
        busy.get(i).socket.getOutputStream().write(batch.toByteArray());
      }
      for (int i = 0; i < 12; i++) {
        for (int k = 0; k < 200; k++) {
          busy.get(i).answers();
        }
      }
      if (++round % 5 == 0) {
        Client activating = new Client("t4", null);
        assertEquals(List.of(), activating.answers());
        activating.close();
      }
    }
    Client after = new Client("t4", null);
    assertEquals(List.of(), after.answers());
    after.send("r1", "read");
    assertEquals(List.of("r1"), after.answers());
  }

  /**
   * A drain under load on all loops must complete all admitted requests; stop() checks that all
   * threads end.
   */
  @Test
  void drainAwaitsRequestsOfAllLoops() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 100);
    start(threeTenants(replicaSet));
    List<Client> clients = new ArrayList<>();
    for (String id : List.of("a", "b", "c", "a", "b", "c")) {
      Client client = new Client(id, null);
      assertEquals(List.of(), client.answers());
      client.send("w" + clients.size(), "write");
      clients.add(client);
    }
    awaitAdmitted(6);
    gateway.drain();
    for (int i = 0; i < 6; i++) {
      assertEquals(List.of("w" + i), clients.get(i).answers());
      assertEquals("", clients.get(i).next());
    }
    assertEquals(6, replicaSet.effects().size());
  }

  /**
   * A tenant is removed while its clients are handed over between loops: each is served or receives
   * an error, and no request stays open. Later clients are asked for a password, as for any unknown
   * tenant, so their query is a protocol error (08P01).
   */
  @Test
  void removesTenantDuringHandOvers() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 1);
    start(threeTenants(replicaSet));
    CompletableFuture<Long> gone = new CompletableFuture<>();
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      if (i == 30) {
        gateway.remove("c", gone::complete);
      }
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes(Message.startup("api", "c"));
      all.writeBytes(query("q" + i, "read"));
      clients.add(new Client(all.toByteArray()));
    }
    gone.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    for (int i = 0; i < 60; i++) {
      List<String> answers = new ArrayList<>(clients.get(i).answers());
      answers.addAll(clients.get(i).answers());
      assertTrue(
          answers.contains("q" + i)
              || answers.isEmpty()
              || answers.contains("57P03")
              || answers.contains("08P01"),
          answers.toString());
      clients.get(i).close();
    }
    MultiTenantGateway.HeldResources held =
        gateway.heldResources().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertEquals(
        held.counters().get(Counters.Name.REQUESTS_TAKEN),
        held.counters().get(Counters.Name.ANSWERS_SERVED)
            + held.counters().get(Counters.Name.ANSWERS_REFUSED)
            + held.counters().get(Counters.Name.ANSWERS_FAILED)
            + held.counters().get(Counters.Name.REQUESTS_LEFT));
    assertEquals(0, held.counters().get(Counters.Name.FAULTS));
  }
}
