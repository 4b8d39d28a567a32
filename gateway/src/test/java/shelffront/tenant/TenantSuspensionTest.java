package shelffront.tenant;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import shelffront.frontend.ClientHandle;
import shelffront.net.Counters;
import shelffront.net.EventLoop;
import shelffront.net.Network;
import shelffront.net.ResourceBudget;
import shelffront.pg.ProtocolException;
import shelffront.pg.Statement;
import shelffront.quota.ConnectionQuotas;
import shelffront.quota.DeficitRoundRobin.Flow;
import shelffront.quota.TenantQuotas;
import shelffront.request.ClientRequest;
import shelffront.routing.Router;

/**
 * Tests when a tenant is suspended and resumed. The tenant has no endpoints unless a test gives it
 * one, and the test sets the clock.
 */
class TenantSuspensionTest {

  private static final long SECOND_MICROS = 1_000_000;

  private final AtomicLong clock = new AtomicLong(1_800_000_000 * SECOND_MICROS);
  private final EventLoop loop = new EventLoop(clock::get, new Counters());
  private final List<String> events = new ArrayList<>();
  private Network network;
  private Tenant tenant;
  private Thread loopThread;

  private final ClientHandle client = (why, reason, readUntilMicros) -> events.add("disconnected");

  private final ClientRequest.ResponseListener responseListener =
      new ClientRequest.ResponseListener() {
        @Override
        public boolean mayStartAttempt() {
          return true;
        }

        @Override
        public void onServed(byte[] messages) {
          events.add("served");
        }

        @Override
        public void onRejected(long retryAfterMicros) {
          events.add("rejected");
        }

        @Override
        public void onUnavailable() {
          events.add("unavailable");
        }

        @Override
        public void onFailed() {
          events.add("failed");
        }
      };

  @BeforeEach
  void start() throws Exception {
    network = Network.open(loop, new ResourceBudget(1 << 24), new Counters(), line -> {});
    tenant =
        new Tenant(
            network.forTenant("airport", new Flow<>(1), 1 << 20),
            specWith(""),
            7,
            new ConnectionQuotas(10),
            new TenantQuotas(0, 10, loop.nowMicros()));
    loopThread =
        new Thread(
            () -> {
              try {
                loop.run();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    loopThread.start();
  }

  /** Returns a specification of the tenant with these endpoints. */
  private static TenantSpec specWith(String endpoints) throws Exception {
    String document =
        """
        {"id": "airport", "boxes": {"list": [%s]}, "graceMs": 2000,
         "classes": [{"name": "read", "giveUpMs": 100000, "read": "session"}]}
        """;
    return TenantSpecCodec.read(
        TenantSpecCodec.parse(document.formatted(endpoints).getBytes(StandardCharsets.UTF_8)));
  }

  /** Returns a specification with one endpoint at the address of the socket. */
  private static TenantSpec specWith(ServerSocket host) throws Exception {
    String endpoint = "{\"id\": \"s-0\", \"address\": \"127.0.0.1:%d\", \"group\": 1}";
    return specWith(endpoint.formatted(host.getLocalPort()));
  }

  @AfterEach
  void stop() throws Exception {
    loop.post(loop::stop);
    loopThread.join(10_000);
    network.channels().shutdown();
  }

  /**
   * Runs a task on the event loop and waits until the tasks and due deadlines that it caused have
   * run. Returns the number of deadlines that are set afterwards.
   */
  private int runOnLoop(Runnable task) throws Exception {
    CompletableFuture<Integer> done = new CompletableFuture<>();
    loop.post(
        () -> {
          task.run();
          // Completes two loop iterations later, after the tasks that were posted by this task and
          // by the deadlines due with it.
          loop.post(
              () ->
                  loop.scheduleAt(
                      loop.nowMicros(),
                      () -> loop.post(() -> done.complete(loop.deadlineCount()))));
        });
    return done.get(10, TimeUnit.SECONDS);
  }

  /** Advances the clock, runs due deadlines and returns the number of deadlines set afterwards. */
  private int advanceClock(long seconds) throws Exception {
    clock.addAndGet(seconds * SECOND_MICROS);
    runOnLoop(() -> {});
    return runOnLoop(() -> {});
  }

  /** Sends a request whose deadline is this many seconds away. */
  private void sendRequest(String id, long seconds) {
    try {
      Statement statement =
          Statement.parse(
              ("/* id=" + id + ",c=read,d=1,cluster=1 */ SELECT 1")
                  .getBytes(StandardCharsets.UTF_8));
      tenant.handle(
          new ClientRequest(
              id, statement, 0, loop.nowMicros() + seconds * SECOND_MICROS, responseListener),
          "k",
          1,
          Router.UNKNOWN,
          false);
    } catch (ProtocolException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void tenantIsResumedByItsFirstClientAndSuspendedWithoutClients() throws Exception {
    assertEquals(0, runOnLoop(() -> {}), "no deadline is set before the first client connects");
    assertTrue(runOnLoop(() -> tenant.onClientConnected(client)) > 0);
    assertTrue(advanceClock(100) > 0, "the tenant is not suspended while it has a client");
    runOnLoop(() -> tenant.onClientClosed(client));
    assertTrue(advanceClock(29) > 0);
    assertEquals(0, advanceClock(2), "a suspended tenant has no deadline");
    assertTrue(runOnLoop(() -> tenant.onClientConnected(client)) > 0, "the tenant is resumed");
    runOnLoop(() -> sendRequest("r1", 1));
    advanceClock(2);
    assertEquals(List.of("rejected"), events, "a resumed tenant responds to requests");
  }

  /**
   * Guards against requests to the former address of a host, which another tenant may have now, if
   * an administrator changes it while the tenant is suspended.
   */
  @Test
  void resumedTenantConnectsToAddressesThatWereChangedMeanwhile() throws Exception {
    try (ServerSocket before = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        ServerSocket after = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      TenantSpec former = specWith(before);
      TenantSpec changed = specWith(after);
      runOnLoop(() -> tenant.update(former));
      runOnLoop(() -> tenant.onClientConnected(client));
      before.accept().close();
      runOnLoop(() -> tenant.onClientClosed(client));
      advanceClock(31);
      runOnLoop(() -> tenant.update(changed));
      runOnLoop(() -> tenant.onClientConnected(client));
      after.setSoTimeout(10_000);
      after.accept().close();
    }
  }

  /**
   * A client may disconnect while its request is still open. The tenant must not be suspended until
   * the request has ended, and must be suspended afterwards.
   */
  @Test
  void tenantWithOpenRequestIsSuspendedOnlyAfterTheRequestEnds() throws Exception {
    runOnLoop(() -> tenant.onClientConnected(client));
    runOnLoop(() -> sendRequest("r1", 90));
    runOnLoop(() -> tenant.onClientClosed(client));
    assertTrue(advanceClock(31) > 0, "the tenant is not suspended while a request is open");
    advanceClock(60);
    assertEquals(List.of("rejected"), events);
    assertEquals(0, advanceClock(31), "a suspended tenant has no deadline");
  }

  @Test
  void suspendedTenantIsRemovedWithoutRemainingDeadlines() throws Exception {
    runOnLoop(() -> tenant.onClientConnected(client));
    runOnLoop(() -> tenant.onClientClosed(client));
    assertEquals(0, advanceClock(31));
    runOnLoop(() -> tenant.remove(2 * SECOND_MICROS, () -> events.add("removed")));
    assertEquals(0, advanceClock(3));
    assertEquals(List.of("removed"), events);
  }
}
