package shelffront.tenant;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import shelffront.net.CloseReason;
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

/** A tenant without boxes, on a clock of the test's: when it sleeps and when it must not. */
class TenantSleepTest {

  private static final long SECOND = 1_000_000;

  private final AtomicLong clock = new AtomicLong(1_800_000_000 * SECOND);
  private final EventLoop loop = new EventLoop(clock::get, new Counters());
  private final List<String> answers = new ArrayList<>();
  private Network network;
  private Tenant tenant;
  private Thread turns;

  private final ClientHandle client =
      new ClientHandle() {
        @Override
        public boolean isIdle() {
          return true;
        }

        @Override
        public void endWithError(ProtocolException why, CloseReason reason) {
          answers.add("dismissed");
        }
      };

  private final ClientRequest.ResponseListener asker =
      new ClientRequest.ResponseListener() {
        @Override
        public void onServed(byte[] messages) {
          answers.add("served");
        }

        @Override
        public void onRejected(long retryAfter) {
          answers.add("refused");
        }

        @Override
        public void onUnavailable() {
          answers.add("unavailable");
        }

        @Override
        public void onFailed() {
          answers.add("failed");
        }
      };

  @BeforeEach
  void start() throws Exception {
    network = Network.open(loop, new ResourceBudget(1 << 24), new Counters(), line -> {});
    TenantSpec spec =
        TenantSpecCodec.read(
            TenantSpecCodec.parse(
                """
                {"id": "airport", "boxes": {"list": []}, "graceMs": 2000,
                 "classes": [{"name": "read", "giveUpMs": 100000, "read": "session"}]}
                """
                    .getBytes(StandardCharsets.UTF_8)));
    tenant =
        new Tenant(
            network.forTenant("airport", new Flow<>(1), 1 << 20),
            spec,
            7,
            new ConnectionQuotas(10),
            new TenantQuotas(0, 10, loop.nowMicros()));
    turns =
        new Thread(
            () -> {
              try {
                loop.run();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    turns.start();
  }

  @AfterEach
  void stop() throws Exception {
    loop.post(loop::stop);
    turns.join(10_000);
    network.channels().shutdown();
  }

  /** Runs in a turn, after all that was due before it; gives the deadlines that are set then. */
  private int turn(Runnable task) throws Exception {
    CompletableFuture<Integer> done = new CompletableFuture<>();
    loop.post(
        () -> {
          task.run();
          // Two turns on: what the task and the deadlines due with it have posted is done by then.
          loop.post(
              () ->
                  loop.scheduleAt(
                      loop.nowMicros(),
                      () -> loop.post(() -> done.complete(loop.deadlineCount()))));
        });
    return done.get(10, TimeUnit.SECONDS);
  }

  private int later(long seconds) throws Exception {
    clock.addAndGet(seconds * SECOND);
    turn(() -> {});
    return turn(() -> {});
  }

  private void ask(String id, long seconds) {
    try {
      Statement statement =
          Statement.parse(
              ("/* id=" + id + ",c=read,d=1,cluster=1 */ SELECT 1")
                  .getBytes(StandardCharsets.UTF_8));
      tenant.handle(
          new ClientRequest(id, statement, 0, loop.nowMicros() + seconds * SECOND, asker),
          "k",
          1,
          Router.UNKNOWN,
          false);
    } catch (ProtocolException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void itWakesWithItsFirstClientAndSleepsWithoutAny() throws Exception {
    assertEquals(0, turn(() -> {}), "nothing before its first client");
    assertTrue(turn(() -> tenant.onClientConnected(client)) > 0);
    assertTrue(later(100) > 0, "awake as long as it has a client");
    turn(() -> tenant.onClientClosed(client));
    assertTrue(later(29) > 0);
    assertEquals(0, later(2), "no timer is left");
    assertTrue(turn(() -> tenant.onClientConnected(client)) > 0, "it wakes again");
    turn(() -> ask("r1", 1));
    later(2);
    assertEquals(List.of("refused"), answers, "and answers");
  }

  /**
   * A client may have left while its attempt is still out: the tenant sleeps when that too is over.
   */
  @Test
  void itDoesNotSleepOverAnOpenRequestNorForgetToSleepAfterIt() throws Exception {
    turn(() -> tenant.onClientConnected(client));
    turn(() -> ask("r1", 90));
    turn(() -> tenant.onClientClosed(client));
    assertTrue(later(31) > 0, "a request is open");
    later(60);
    assertEquals(List.of("refused"), answers);
    assertEquals(0, later(31), "no timer is left");
  }

  @Test
  void oneThatSleepsIsRemovedWithoutATrace() throws Exception {
    turn(() -> tenant.onClientConnected(client));
    turn(() -> tenant.onClientClosed(client));
    assertEquals(0, later(31));
    turn(() -> tenant.remove(2 * SECOND, () -> answers.add("gone")));
    assertEquals(0, later(3));
    assertEquals(List.of("gone"), answers);
  }
}
