package shelffront.lab;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import shelffront.lab.emulator.EmulatedReplicaSet;
import shelffront.multitenant.MultiTenantConfig;
import shelffront.multitenant.MultiTenantGateway;
import shelffront.net.Counters;
import shelffront.pg.Message;
import shelffront.tenant.ApiKeys;
import shelffront.tenant.TenantSpecCodec;

/**
 * A multi-tenant gateway in front of emulated hosts: tenants are added, changed and removed, or
 * their hosts stall, while requests are open.
 */
class HostedTenantsTest {

  static final int TIMEOUT_MS = 20_000;

  /** More than the gateway keeps or reads at once. */
  private static final int FLOOD_BYTES = 3 << 19;

  /** Requests of one pipeline; more than are parsed ahead, and than fit into one read. */
  private static final int PIPELINED_REQUESTS = 300;

  private final List<AutoCloseable> open = new ArrayList<>();
  MultiTenantGateway gateway;
  private Thread gatewayThread;

  /** Returns the number of event loops of the gateway. */
  int cores() {
    return 1;
  }

  void start(ObjectNode... tenants) throws Exception {
    ObjectNode config =
        TenantSpecCodec.JSON.createObjectNode().put("listen", "127.0.0.1:0").put("cores", cores());
    config.putObject("capacity").put("openRequests", 100);
    ArrayNode list = config.putArray("tenants");
    for (ObjectNode tenant : tenants) {
      list.add(tenant);
    }
    gateway = new MultiTenantGateway(MultiTenantConfig.read(config), line -> {});
    gatewayThread = gateway.start();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.drain();
    for (AutoCloseable each : open) {
      each.close();
    }
    gatewayThread.join(TIMEOUT_MS);
    assertTrue(!gatewayThread.isAlive(), "the gateway did not stop");
  }

  EmulatedReplicaSet startReplicaSet(String name, int replicas, double workMs) throws IOException {
    EmulatedReplicaSet replicaSet = new EmulatedReplicaSet(name, replicas, 4, workMs, 5);
    open.add(replicaSet);
    return replicaSet;
  }

  static ObjectNode tenant(String id, EmulatedReplicaSet replicaSet) {
    ObjectNode tenant = TenantSpecCodec.JSON.createObjectNode().put("id", id).put("graceMs", 0);
    ArrayNode classes = tenant.putArray("classes");
    classes.addObject().put("name", "read").put("giveUpMs", 20_000).put("read", "any");
    classes
        .addObject()
        .put("name", "write")
        .put("giveUpMs", 20_000)
        .put("read", "write")
        .put("effect", "keyed")
        .put("windowMs", 2000);
    ArrayNode list = tenant.putObject("boxes").putArray("list");
    if (replicaSet != null) {
      for (EmulatedReplicaSet.Host host : replicaSet.hosts()) {
        list.addObject()
            .put("id", host.id())
            .put("address", host.address())
            .put("group", 1)
            .put("role", host.isPrimary() ? "primary" : "replica");
      }
    }
    return tenant;
  }

  /** A blocking client that reads whole messages. */
  final class Client implements AutoCloseable {

    final Socket socket;
    private final DataInputStream in;

    Client(String database, String password) throws IOException {
      socket = new Socket(InetAddress.getLoopbackAddress(), gateway.address().getPort());
      open.add(this);
      socket.setSoTimeout(TIMEOUT_MS);
      in = new DataInputStream(socket.getInputStream());
      socket.getOutputStream().write(Message.startup("api", database));
      if (password != null) {
        assertEquals("R", next().substring(0, 1));
        socket
            .getOutputStream()
            .write(new Message('p', (password + "\0").getBytes(ISO_8859_1)).bytes());
      }
    }

    /** Connects and sends all bytes in one write. */
    Client(byte[] all) throws IOException {
      socket = new Socket(InetAddress.getLoopbackAddress(), gateway.address().getPort());
      open.add(this);
      socket.setSoTimeout(TIMEOUT_MS);
      in = new DataInputStream(socket.getInputStream());
      socket.getOutputStream().write(all);
    }

    /** Returns the type and contents of the next message, or "" at the end of the connection. */
    String next() throws IOException {
      try {
        int type = in.readUnsignedByte();
        return (char) type + new String(in.readNBytes(in.readInt() - 4), ISO_8859_1);
      } catch (EOFException | SocketException e) {
        return "";
      }
    }

    /**
     * Reads up to ReadyForQuery or the end of the connection, and returns the responses: the value
     * of a row or the SQLSTATE of an error.
     */
    List<String> answers() throws IOException {
      List<String> answers = new ArrayList<>();
      for (String m = next(); !m.isEmpty() && m.charAt(0) != 'Z'; m = next()) {
        if (m.charAt(0) == 'D') {
          answers.add(m.substring(7));
        } else if (m.charAt(0) == 'E') {
          answers.add(m.substring(m.indexOf("\0C") + 2, m.indexOf("\0C") + 7));
        }
      }
      return answers;
    }

    void send(String id, String type) throws IOException {
      socket.getOutputStream().write(query(id, type));
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static byte[] query(String id, String type) {
    String statement =
        type.equals("write") ? "INSERT INTO rows VALUES ('h', 'x')" : "SELECT blob FROM rows";
    return Message.query(
        ("/* id=" + id + ",c=" + type + ",d=15000,k=" + id + ",cluster=1 */ " + statement)
            .getBytes(ISO_8859_1));
  }

  long counter(Counters.Name name) throws Exception {
    return gateway.heldResources().get(TIMEOUT_MS, TimeUnit.MILLISECONDS).counters().get(name);
  }

  private int clientConnections(String tenant) throws Exception {
    return gateway.usage(tenant).get(TIMEOUT_MS, TimeUnit.MILLISECONDS).clientConnections();
  }

  /** Polls the counters of the gateway until it has admitted this many requests. */
  void awaitAdmitted(long requests) throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    while (counter(Counters.Name.REQUESTS_TAKEN) < requests) {
      assertTrue(
          System.nanoTime() < end, "the gateway did not admit " + requests + " requests in time");
    }
  }

  void removeTenant(String id) throws Exception {
    CompletableFuture<Long> gone = new CompletableFuture<>();
    gateway.remove(id, gone::complete);
    gone.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Requests of a removed tenant that are in flight at a silent host, wait behind another request
   * of their connection or are half received get one final response each, and no resources stay
   * held.
   */
  @Test
  void answersEachRequestOfRemovedTenantOnce() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 1);
    replicaSet.hosts().forEach(host -> host.setSilent(true));
    start(tenant("airport", replicaSet));
    int idle = gateway.heldResources().get(TIMEOUT_MS, TimeUnit.MILLISECONDS).deadlines();
    Client read = new Client("airport", null);
    Client write = new Client("airport", null);
    Client half = new Client("airport", null);
    Client idleClient = new Client("airport", null);
    for (Client client : List.of(read, write, half, idleClient)) {
      assertEquals(List.of(), client.answers());
    }
    read.send("r1", "read");
    write.send("w1", "write");
    write.send("w2", "write");
    byte[] bytes = query("h1", "read");
    half.socket.getOutputStream().write(bytes, 0, bytes.length / 2);
    awaitAdmitted(2);
    removeTenant("airport");
    assertEquals(1, read.answers().size());
    List<String> firstWrite = write.answers();
    assertEquals(1, firstWrite.size());
    assertTrue(List.of("40003", "57P03").contains(firstWrite.get(0)), firstWrite.toString());
    assertEquals(
        List.of("57P03"),
        write.answers(),
        "the request behind the first write was never forwarded");
    assertEquals(List.of("57P03"), half.answers());
    assertEquals(List.of("57P03"), idleClient.answers());
    for (Client client : List.of(read, write, half, idleClient)) {
      while (!client.next().isEmpty()) {
        continue; // read to the end of the connection
      }
    }
    assertNull(gateway.usage("airport").get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
    for (Client client : List.of(read, write, half, idleClient)) {
      client.close(); // the gateway's lingering close waits for its clients
    }
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    MultiTenantGateway.HeldResources held =
        gateway.heldResources().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    while (replicaSet.connectionCount() > 0 || held.deadlines() > idle || held.bufferBytes() > 0) {
      assertTrue(
          System.nanoTime() < end,
          replicaSet.connectionCount() + " host connections and " + held + " are still held");
      held = gateway.heldResources().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
    Client late = new Client("airport", "x");
    assertEquals(List.of("3D000"), late.answers());
  }

  /**
   * A request for a replica set without known hosts is queued; removing the tenant rejects it
   * exactly once.
   */
  @Test
  void rejectsQueuedRequestAtRemoval() throws Exception {
    start(tenant("airport", startReplicaSet("s", 1, 1)));
    Client client = new Client("airport", null);
    assertEquals(List.of(), client.answers());
    client
        .socket
        .getOutputStream()
        .write(
            Message.query(
                "/* id=w1,c=write,d=15000,k=w1,cluster=9 */ INSERT INTO rows VALUES ('h', 'x')"
                    .getBytes(ISO_8859_1)));
    awaitAdmitted(1);
    removeTenant("airport");
    assertEquals(List.of("57P03"), client.answers());
    assertEquals(
        List.of("57P03"), client.answers(), "the connection is terminated with the reason");
    assertEquals("", client.next());
  }

  /**
   * Guards against requests that were read behind others, and not parsed yet, when their tenant is
   * removed: each gets its response before the connection ends.
   */
  @Test
  void answersEveryPipelinedRequestOfRemovedTenant() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 1);
    replicaSet.hosts().forEach(host -> host.setSilent(true));
    start(tenant("airport", replicaSet));
    Client client = pipeliningClient("airport");
    awaitAdmitted(1);
    removeTenant("airport");
    assertAllAnswered(client);
  }

  /** Guards against the same loss where a change of the classes replaces the tenant. */
  @Test
  void answersEveryPipelinedRequestWhenClassesChange() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 1);
    replicaSet.hosts().forEach(host -> host.setSilent(true));
    start(tenant("airport", replicaSet));
    Client client = pipeliningClient("airport");
    awaitAdmitted(1);
    CompletableFuture<Long> inForce = new CompletableFuture<>();
    gateway.apply(
        TenantSpecCodec.read(withReversedClasses("airport", replicaSet)), inForce::complete);
    assertAllAnswered(client);
    inForce.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Guards against requests that are begun or repeated for a client that has left behind a flood:
   * its end is noticed late, but nothing is sent for it meanwhile.
   */
  @Test
  void startsNothingForClientThatLeftBehindFlood() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 500);
    start(tenant("airport", replicaSet));
    Client client = new Client("airport", null);
    assertEquals(List.of(), client.answers());
    client.send("w1", "write");
    awaitAdmitted(1);
    byte[] flood = new byte[FLOOD_BYTES];
    byte[] request = query("p", "write");
    for (int i = 0; i + request.length <= flood.length; i += request.length) {
      System.arraycopy(request, 0, flood, i, request.length);
    }
    client.socket.getOutputStream().write(flood);
    client.close();
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    while (clientConnections("airport") > 0) {
      assertTrue(System.nanoTime() < end, "the end of the client was not noticed");
    }
    assertTrue(!replicaSet.effects().containsKey("p"), "a request behind the first one was begun");
  }

  private Client pipeliningClient(String database) throws IOException {
    Client client = new Client(database, null);
    assertEquals(List.of(), client.answers());
    ByteArrayOutputStream requests = new ByteArrayOutputStream();
    for (int i = 0; i < PIPELINED_REQUESTS; i++) {
      requests.writeBytes(query("p" + i, "read"));
    }
    client.socket.getOutputStream().write(requests.toByteArray());
    return client;
  }

  private static void assertAllAnswered(Client client) throws IOException {
    for (int i = 0; i < PIPELINED_REQUESTS; i++) {
      assertEquals(List.of("57P03"), client.answers(), "response to request " + i);
    }
    assertEquals(List.of("57P03"), client.answers(), "the connection is ended with the reason");
    assertEquals("", client.next());
  }

  /** Requests admitted before the removal of the tenant are served within the grace period. */
  @Test
  void servesAdmittedRequestsWithinGracePeriod() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 200);
    start(tenant("airport", replicaSet).put("graceMs", 15_000));
    Client client = new Client("airport", null);
    assertEquals(List.of(), client.answers());
    client.send("w1", "write");
    awaitAdmitted(1);
    CompletableFuture<Long> gone = new CompletableFuture<>();
    gateway.remove("airport", gone::complete);
    assertEquals(List.of("w1"), client.answers());
    client.send("w2", "write");
    List<String> next = client.answers();
    assertTrue(next.equals(List.of("57P03")) || next.isEmpty(), next.toString());
    gone.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertEquals(1, replicaSet.effects().size());
  }

  /**
   * The hosts of one tenant are silent and its clients use up its limits; another is still served.
   */
  @Test
  void isolatesTenantsFromSilentHostsOfAnother() throws Exception {
    EmulatedReplicaSet silent = startReplicaSet("s", 1, 1);
    silent.hosts().forEach(host -> host.setSilent(true));
    EmulatedReplicaSet healthy = startReplicaSet("w", 1, 1);
    ObjectNode stuck = tenant("stuck", silent);
    stuck
        .putObject("limits")
        .put("openRequests", 1000)
        .put("clientConnections", 150)
        .put("hostConnections", 20)
        .put("bufferBytes", 262_144);
    start(stuck, tenant("well", healthy));
    for (int i = 0; i < 120; i++) {
      Client client = new Client("stuck", null);
      assertEquals(List.of(), client.answers());
      client.send("s" + i, "read");
    }
    awaitAdmitted(120);
    Client client = new Client("well", null);
    assertEquals(List.of(), client.answers());
    for (int i = 0; i < 200; i++) {
      client.send("a" + i, i % 2 == 0 ? "read" : "write");
      assertEquals(List.of("a" + i), client.answers());
    }
    assertTrue(
        counter(Counters.Name.REFUSED_BY_SHARE) > 0, "the stuck tenant did not reach its limit");
  }

  /** Requests open during a change that requires a new decision module get one response each. */
  @Test
  void losesNothingWhenClassesChangeUnderLoad() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 2);
    start(tenant("airport", replicaSet).put("graceMs", 10_000));
    for (int round = 0; round < 20; round++) {
      Client client = new Client("airport", null);
      assertEquals(List.of(), client.answers());
      client.send("w" + round, "write");
      awaitAdmitted(round + 1);
      ObjectNode next = tenant("airport", replicaSet).put("graceMs", 10_000);
      ((ObjectNode) next.path("classes").path(0)).put("giveUpMs", 10_000 + round);
      CompletableFuture<Long> inForce = new CompletableFuture<>();
      gateway.apply(TenantSpecCodec.read(next), inForce::complete);
      assertEquals(List.of("w" + round), client.answers());
      inForce.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
    assertEquals(20, replicaSet.effects().size());
    assertTrue(
        replicaSet.effects().values().stream().allMatch(count -> count.get() == 1),
        "a write took effect more than once");
  }

  /**
   * Guards against strong reads from a former primary that has told only the replaced router that
   * it is a replica.
   */
  @Test
  void readsNothingFromFormerPrimaryThatToldReplacedRouterItsRole() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 1);
    EmulatedReplicaSet.Host former = replicaSet.hosts().get(0);
    start(withFreshReads(replicaSet));
    Client writer = new Client("airport", null);
    assertEquals(List.of(), writer.answers());
    former.slowDown(5000, 60);
    writer.send("w", "write");
    await().until(() -> former.startedCount() == 1);
    former.slowDown(1, 0);

    CompletableFuture<Long> inForce = new CompletableFuture<>();
    ObjectNode next = withFreshReads(replicaSet);
    ((ObjectNode) next.path("classes").path(0)).put("giveUpMs", 19_000);
    gateway.apply(TenantSpecCodec.read(next), inForce::complete);
    Client reader = new Client("airport", null);
    assertEquals(List.of(), reader.answers());
    reader.send("before", "fresh");
    assertEquals(List.of("before"), reader.answers());
    assertEquals(2, former.startedCount(), "the new router trusts the primary");

    former.drain();
    await().until(() -> replicaSet.hosts().get(1).isPrimary());
    former.cancelDrain();
    writer.answers();
    reader.send("after", "fresh");
    assertEquals(List.of("after"), reader.answers());
    assertEquals(2, former.startedCount(), "queries that the former primary has started");
    inForce.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Guards against trust in a host that has the id of a former one, which was the primary. */
  @Test
  void readsNothingFromReplicaThatHasTheIdOfAnotherPrimary() throws Exception {
    EmulatedReplicaSet before = startReplicaSet("s", 1, 1);
    EmulatedReplicaSet after = startReplicaSet("s", 1, 1);
    EmulatedReplicaSet.Host replica = after.hosts().get(0);
    replica.drain();
    await().until(() -> after.hosts().get(1).isPrimary());
    replica.cancelDrain();
    start(withFreshReads(before));
    Client client = new Client("airport", null);
    assertEquals(List.of(), client.answers());
    client.send("a", "fresh");
    assertEquals(List.of("a"), client.answers());
    CompletableFuture<Long> inForce = new CompletableFuture<>();
    gateway.apply(TenantSpecCodec.read(withFreshReads(after)), inForce::complete);
    inForce.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    client.send("b", "fresh");
    assertEquals(List.of("b"), client.answers());
    assertEquals(0, replica.startedCount());
  }

  /** A tenant whose hosts serve strongly consistent reads from whatever data they have. */
  private static ObjectNode withFreshReads(EmulatedReplicaSet replicaSet) {
    ObjectNode tenant = tenant("airport", replicaSet).put("graceMs", 10_000);
    ((ArrayNode) tenant.path("classes"))
        .addObject()
        .put("name", "fresh")
        .put("giveUpMs", 20_000)
        .put("read", "fresh");
    tenant.putObject("hosts").put("check", "silent");
    return tenant;
  }

  @Test
  void sendsNothingToHostAfterAdministratorDrainsIt() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 2, 1);
    start(tenant("airport", replicaSet));
    Client client = new Client("airport", null);
    assertEquals(List.of(), client.answers());
    ObjectNode next = tenant("airport", replicaSet);
    next.putArray("drained").add("s-1");
    CompletableFuture<Long> inForce = new CompletableFuture<>();
    gateway.apply(TenantSpecCodec.read(next), inForce::complete);
    inForce.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    long before = replicaSet.hosts().get(1).startedCount();
    for (int i = 0; i < 50; i++) {
      client.send("r" + i, "read");
      assertEquals(List.of("r" + i), client.answers());
    }
    assertEquals(before, replicaSet.hosts().get(1).startedCount());
  }

  /** Returns a tenant with the classes in reverse order and other hosts of the same names. */
  private static ObjectNode withReversedClasses(String id, EmulatedReplicaSet replicaSet) {
    ObjectNode tenant = tenant(id, replicaSet).put("graceMs", 10_000);
    ArrayNode classes = (ArrayNode) tenant.path("classes");
    classes.add(classes.remove(0));
    return tenant;
  }

  private static Set<String> firstLetters(EmulatedReplicaSet replicaSet) {
    return replicaSet.effects().keySet().stream()
        .map(key -> key.substring(0, 1))
        .collect(Collectors.toSet());
  }

  /**
   * Reused state must not cross tenants: settings cached for the life of a client connection,
   * pooled host connections, and request classes held by number.
   */
  @Test
  void sharesNothingBetweenTenants() throws Exception {
    EmulatedReplicaSet ours = startReplicaSet("s", 1, 1);
    EmulatedReplicaSet theirs = startReplicaSet("s", 1, 1);
    start(tenant("one", ours), withReversedClasses("other", theirs));
    Client first = new Client("one", null);
    Client second = new Client("other", null);
    assertEquals(List.of(), first.answers());
    assertEquals(List.of(), second.answers());
    for (int i = 0; i < 50; i++) {
      String type = i % 2 == 0 ? "write" : "read";
      first.send("a" + i, type);
      second.send("b" + i, type);
      assertEquals(List.of("a" + i), first.answers());
      assertEquals(List.of("b" + i), second.answers());
    }
    assertEquals(Set.of("a"), firstLetters(ours));
    assertEquals(Set.of("b"), firstLetters(theirs));
    assertEquals(25, ours.effects().size());
    assertEquals(25, theirs.effects().size());
  }

  /**
   * A tenant is removed with a request in progress and created again at once under the same name
   * with other hosts and classes. Its former clients must not reach the new hosts.
   */
  @Test
  void servesNoClientOfRemovedTenantAfterRecreation() throws Exception {
    EmulatedReplicaSet before = startReplicaSet("s", 1, 20);
    EmulatedReplicaSet after = startReplicaSet("s", 1, 1);
    start(tenant("one", before).put("graceMs", 10_000));
    Client old = new Client("one", null);
    assertEquals(List.of(), old.answers());
    old.send("o1", "write");
    assertEquals(List.of("o1"), old.answers());
    old.send("o2", "write");
    awaitAdmitted(2);
    CompletableFuture<Long> gone = new CompletableFuture<>();
    gateway.remove("one", gone::complete);
    CompletableFuture<Long> inForce = new CompletableFuture<>();
    gateway.apply(TenantSpecCodec.read(withReversedClasses("one", after)), inForce::complete);
    inForce.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    Client next = new Client("one", null);
    assertEquals(List.of(), next.answers());
    next.send("n1", "write");
    assertEquals(List.of("n1"), next.answers());
    assertEquals(List.of("o2"), old.answers());
    // A further request on the old connection is rejected or finds it closed.
    try {
      old.send("o3", "write");
      assertTrue(List.of(List.of(), List.of("57P03")).contains(old.answers()));
    } catch (SocketException e) {
      // The connection has been closed already.
    }
    gone.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    next.send("n2", "write");
    assertEquals(List.of("n2"), next.answers());
    assertEquals(Set.of("o"), firstLetters(before));
    assertEquals(Set.of("n"), firstLetters(after));
  }

  /** A wrong key, a key of another tenant and an unknown tenant must get identical responses. */
  @Test
  void acceptsKeysOfOneTenantOnly() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 0, 1);
    String ours = ApiKeys.generate();
    String theirs = ApiKeys.generate();
    ObjectNode one = tenant("one", replicaSet);
    one.putArray("credentials")
        .addObject()
        .put("user", "api")
        .put("sha256", HexFormat.of().formatHex(ApiKeys.hash(ours)));
    ObjectNode other = tenant("other", replicaSet);
    other
        .putArray("credentials")
        .addObject()
        .put("user", "api")
        .put("sha256", HexFormat.of().formatHex(ApiKeys.hash(theirs)));
    start(one, other);
    Client client = new Client("one", ours);
    assertEquals(List.of(), client.answers());
    client.send("r1", "read");
    assertEquals(List.of("r1"), client.answers());
    String refusal = null;
    for (String[] wrong :
        new String[][] {
          {"one", theirs},
          {"one", ours.substring(1)},
          {"one", ""},
          {"other", ours},
          {"nobody", ours},
          {"", ours}
        }) {
      String answer = new Client(wrong[0], wrong[1]).next();
      assertTrue(refusal == null || answer.equals(refusal), answer);
      refusal = answer;
    }
    assertTrue(refusal.contains("3D000"), refusal);
  }

  /** 2,000 suspended tenants must hold no timers and no connections. */
  @Test
  void keepsNoTimerOrConnectionForSuspendedTenants() throws Exception {
    EmulatedReplicaSet replicaSet = startReplicaSet("s", 1, 1);
    ObjectNode[] tenants = new ObjectNode[2000];
    for (int i = 0; i < tenants.length; i++) {
      tenants[i] = tenant("t" + i, replicaSet);
    }
    start(tenants);
    MultiTenantGateway.HeldResources held =
        gateway.heldResources().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertEquals(0, held.deadlines());
    assertEquals(0, replicaSet.connectionCount());
    for (int i = 0; i < 20; i++) {
      Client client = new Client("t" + i * 100, null);
      assertEquals(List.of(), client.answers());
      client.send("r" + i, "read");
      assertEquals(List.of("r" + i), client.answers());
    }
    held = gateway.heldResources().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertTrue(
        held.deadlines() < 400, "only active tenants may hold timers, found " + held.deadlines());
  }
}
