package shelffront.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Tests the division of forty connections among tenants that acquire, hold and release them. */
class ConnectionQuotasTest {

  private final ConnectionQuotas quotas = new ConnectionQuotas(40);
  private final List<String> events = new ArrayList<>();

  private ConnectionQuota register(String name, double weight, int maxConnections) {
    return quotas.register(
        weight,
        maxConnections,
        () -> events.add(name + " reclaim"),
        () -> events.add(name + " available"));
  }

  private static int fill(ConnectionQuota quota) {
    int acquired = 0;
    while (quota.tryAcquire(false) == Acquisition.ACQUIRED) {
      acquired++;
    }
    return acquired;
  }

  @Test
  void singleTenantAcquiresTheTotalAndNoMore() {
    assertEquals(40, fill(register("a", 1, 100)));
    assertEquals(40, quotas.inUse());
  }

  @Test
  void tenantIsLimitedByItsOwnMaximum() {
    assertEquals(7, fill(register("a", 1, 7)));
  }

  @Test
  void secondTenantReclaimsItsFairShareAfterTheFirstAcquiredAll() {
    ConnectionQuota first = register("first", 1, 100);
    ConnectionQuota second = register("second", 1, 100);
    fill(first);
    assertEquals(Acquisition.PENDING, second.tryAcquire(false));
    assertEquals(Acquisition.PENDING, second.tryAcquire(false));
    assertEquals(List.of("first reclaim", "first reclaim"), events);
    first.release();
    assertEquals("second available", events.get(2));
    second.acknowledgeAvailable();
    assertEquals(Acquisition.ACQUIRED, second.tryAcquire(false));
    while (first.excess() > 0) {
      first.release();
    }
    assertEquals(20, second.inUse() + fill(second));
    assertEquals(20, first.inUse());
    assertEquals(
        Acquisition.REJECTED,
        second.tryAcquire(false),
        "it holds its fair share and all connections are in use");
  }

  /** Lending is bounded, so a tenant below its fair share finds connections at once. */
  @Test
  void tenantAboveItsFairShareLeavesConnectionsForOthers() {
    ConnectionQuota small = register("small", 1, 100);
    ConnectionQuota large = register("large", 1, 100);
    small.tryAcquire(false);
    assertEquals(29, fill(large));
    assertEquals(10, fill(small));
  }

  @Test
  void fairSharesFollowWeightChanges() {
    ConnectionQuota one = register("one", 1, 100);
    ConnectionQuota three = register("three", 3, 100);
    one.tryAcquire(false);
    three.tryAcquire(false);
    assertEquals(1 - 10, one.excess());
    assertEquals(1 - 30, three.excess());
    three.update(1, 100);
    assertEquals(1 - 20, one.excess());
  }

  @Test
  void replacementIsAcquiredAboveTheLendableFraction() {
    ConnectionQuota first = register("a", 1, 100);
    ConnectionQuota second = register("b", 1, 100);
    second.tryAcquire(false);
    fill(first);
    assertEquals(Acquisition.REJECTED, first.tryAcquire(false));
    first.release();
    assertEquals(Acquisition.ACQUIRED, first.tryAcquire(true));
  }

  /**
   * Four threads with seeded choices never exceed the total; at the end, no connection is held and
   * no weight is counted.
   */
  @Test
  void countsStayConsistentAcrossThreads() throws Exception {
    CountDownLatch done = new CountDownLatch(4);
    boolean[] exceeded = new boolean[4];
    List<ConnectionQuota> all = new ArrayList<>();
    for (int tenant = 0; tenant < 4; tenant++) {
      int seed = tenant;
      ConnectionQuota quota = quotas.register(1 + tenant, 30, () -> {}, () -> {});
      all.add(quota);
      new Thread(
              () -> {
                Random random = new Random(seed);
                for (int i = 0; i < 50_000; i++) {
                  if (random.nextBoolean()) {
                    quota.tryAcquire(random.nextInt(10) == 0);
                  } else if (quota.inUse() > 0) {
                    quota.release();
                  }
                  exceeded[seed] |= quotas.inUse() > 40;
                }
                while (quota.inUse() > 0) {
                  quota.release();
                }
                done.countDown();
              })
          .start();
    }
    done.await();
    for (boolean each : exceeded) {
      assertTrue(!each, "connections held exceeded the total");
    }
    assertEquals(0, quotas.inUse());
    all.forEach(ConnectionQuota::acknowledgeAvailable);
    assertEquals(
        40,
        fill(register("last", 1, 100)),
        "the weights of the other tenants are no longer counted");
  }
}
