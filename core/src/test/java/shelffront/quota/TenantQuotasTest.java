package shelffront.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import org.junit.jupiter.api.Test;

/** Tests a gateway with 1,000 requests per second; each admitted request ends after 10 ms. */
class TenantQuotasTest {

  private static final long SECOND_MICROS = 1_000_000;
  private static final long SERVICE_MICROS = 10_000;

  private long now = 5 * SECOND_MICROS;
  private final TenantQuotas quotas = new TenantQuotas(1000, 100, now);

  /** An admitted request: the index of its tenant and the time at which it ends. */
  private record OpenRequest(int tenant, long endsAtMicros) {}

  /** Runs tenants on a single event loop; see {@link #runOnLoops}. */
  private double[] run(Quota[] tenants, double[] rates, long durationMicros) {
    int[] loopOf = new int[tenants.length];
    return runOnLoops(new TenantQuotas[] {quotas}, tenants, loopOf, rates, durationMicros);
  }

  /**
   * Sends evenly spaced requests of each tenant at its rate; returns the admitted requests per
   * second of each tenant.
   */
  private double[] runOnLoops(
      TenantQuotas[] loops, Quota[] tenants, int[] loopOf, double[] rates, long durationMicros) {
    double[] admitted = new double[tenants.length];
    double[] due = new double[tenants.length];
    ArrayDeque<OpenRequest> open = new ArrayDeque<>();
    for (long end = now + durationMicros; now < end; now += 100) {
      while (!open.isEmpty() && open.peek().endsAtMicros() <= now) {
        int tenant = open.poll().tenant();
        loops[loopOf[tenant]].release(tenants[tenant]);
      }
      for (int i = 0; i < tenants.length; i++) {
        for (due[i] += rates[i] / 1e4; due[i] >= 1; due[i]--) {
          if (loops[loopOf[i]].admit(tenants[i], 0, now) == 0) {
            admitted[i]++;
            open.add(new OpenRequest(i, now + SERVICE_MICROS));
          }
        }
      }
    }
    open.forEach(request -> loops[loopOf[request.tenant()]].release(tenants[request.tenant()]));
    for (int i = 0; i < tenants.length; i++) {
      admitted[i] *= 1e6 / durationMicros;
    }
    return admitted;
  }

  @Test
  void onlyActiveTenantGetsTheWholeRate() {
    Quota quota = quotas.register(1, null);
    quotas.register(9, null);
    run(new Quota[] {quota}, new double[] {5000}, SECOND_MICROS);
    assertEquals(1000, run(new Quota[] {quota}, new double[] {5000}, SECOND_MICROS)[0], 30);
  }

  @Test
  void admitsFloodingTenantsByWeight() {
    Quota[] tenants = {
      quotas.register(1, null), quotas.register(2, null), quotas.register(4, null)
    };
    run(tenants, new double[] {4000, 4000, 4000}, SECOND_MICROS);
    double[] admitted = run(tenants, new double[] {4000, 4000, 4000}, 2 * SECOND_MICROS);
    assertEquals(1000.0 / 7, admitted[0], 0.05 * 1000 / 7);
    assertEquals(2000.0 / 7, admitted[1], 0.05 * 2000 / 7);
    assertEquals(4000.0 / 7, admitted[2], 0.05 * 4000 / 7);
  }

  @Test
  void admitsTenantWithinItsQuotaWhileAnotherFloods() {
    Quota[] tenants = {quotas.register(1, null), quotas.register(1, null)};
    run(tenants, new double[] {400, 5000}, SECOND_MICROS);
    double[] admitted = run(tenants, new double[] {400, 5000}, SECOND_MICROS);
    assertEquals(400, admitted[0], 4);
    assertEquals(600, admitted[1], 30);
  }

  /** The specified limit is one window; the tenant has its own rate already within that window. */
  @Test
  void returningTenantHasItsOwnRateAtOnce() {
    Quota[] tenants = {quotas.register(1, null), quotas.register(1, null)};
    run(tenants, new double[] {0, 5000}, 5 * SECOND_MICROS);
    assertEquals(
        400, run(tenants, new double[] {400, 5000}, 2 * TenantQuotas.WINDOW_MICROS)[0], 20);
  }

  @Test
  void reducedWeightTakesEffectWithinAWindow() {
    Quota[] tenants = {quotas.register(9, null), quotas.register(1, null)};
    run(tenants, new double[] {5000, 5000}, SECOND_MICROS);
    assertEquals(100, run(tenants, new double[] {5000, 5000}, SECOND_MICROS)[1], 10);
    quotas.updateWeights(tenants[0], 1, null);
    run(tenants, new double[] {5000, 5000}, TenantQuotas.WINDOW_MICROS);
    assertEquals(500, run(tenants, new double[] {5000, 5000}, SECOND_MICROS)[1], 25);
  }

  @Test
  void dividesRateOfATenantAmongClassesByWeight() {
    Quota quota = quotas.register(1, new double[] {1, 3});
    double[] admitted = new double[2];
    for (int turn = 0; turn < 20_000; turn++, now += 100) {
      for (int classIndex = 0; classIndex < 2; classIndex++) {
        if (quotas.admit(quota, classIndex, now) == 0) {
          quotas.release(quota);
          admitted[classIndex] += turn >= 10_000 ? 1 : 0;
        }
      }
    }
    assertEquals(250, admitted[0], 15);
    assertEquals(750, admitted[1], 40);
  }

  @Test
  void tenantAboveItsOwnSlotsLeavesSlotsForOthers() {
    TenantQuotas slotQuotas = new TenantQuotas(0, 100, now);
    Quota quota = slotQuotas.register(1, null);
    Quota other = slotQuotas.register(1, null);
    int held = 0;
    while (slotQuotas.admit(quota, 0, now) == 0) {
      held++;
    }
    assertEquals(75, held);
    int others = 0;
    while (slotQuotas.admit(other, 0, now) == 0) {
      others++;
    }
    assertEquals(25, others);
    for (int i = 0; i < 20; i++) {
      slotQuotas.release(quota);
    }
    assertTrue(
        slotQuotas.admit(other, 0, now) == 0 && slotQuotas.admit(quota, 0, now) > 0,
        "the second tenant is below its own half, the first is not");
    assertEquals(81, slotQuotas.openRequests());
  }

  /** 2,000 idle tenants do not reduce the rate of an active tenant. */
  @Test
  void idleTenantsTakeNoPartInTheDivision() {
    for (int i = 0; i < 2000; i++) {
      Quota idle = quotas.register(1, null);
      assertEquals(0, quotas.admit(idle, 0, now));
      quotas.release(idle);
      now += 2000;
    }
    Quota quota = quotas.register(1, null);
    run(new Quota[] {quota}, new double[] {5000}, 3 * SECOND_MICROS);
    assertEquals(1000, run(new Quota[] {quota}, new double[] {5000}, SECOND_MICROS)[0], 30);
  }

  /**
   * Flooding tenants on two loops together get no more than the rate, each in proportion to its
   * weight.
   */
  @Test
  void dividesRateAmongTenantsOfSeveralLoopsByWeight() {
    SharedCapacity capacity = new SharedCapacity(1000, 100, 2);
    TenantQuotas[] loops = {new TenantQuotas(capacity, 0, now), new TenantQuotas(capacity, 1, now)};
    Quota[] tenants = {
      loops[0].register(1, null), loops[1].register(1, null), loops[1].register(2, null)
    };
    int[] loopOf = {0, 1, 1};
    double[] admitted =
        runOnLoops(loops, tenants, loopOf, new double[] {4000, 4000, 4000}, SECOND_MICROS);
    admitted =
        runOnLoops(loops, tenants, loopOf, new double[] {4000, 4000, 4000}, 2 * SECOND_MICROS);
    assertEquals(250, admitted[0], 15);
    assertEquals(250, admitted[1], 15);
    assertEquals(500, admitted[2], 30);
    assertEquals(0, capacity.openRequests(), "open requests");
  }

  /** Rate left idle by the tenants of one loop is used by the other and returned in two windows. */
  @Test
  void idleRateOfOneLoopIsUsedByAnother() {
    SharedCapacity capacity = new SharedCapacity(1000, 100, 2);
    TenantQuotas[] loops = {new TenantQuotas(capacity, 0, now), new TenantQuotas(capacity, 1, now)};
    Quota[] tenants = {loops[0].register(1, null), loops[1].register(1, null)};
    int[] loopOf = {0, 1};
    runOnLoops(loops, tenants, loopOf, new double[] {100, 4000}, SECOND_MICROS);
    double[] admitted = runOnLoops(loops, tenants, loopOf, new double[] {100, 4000}, SECOND_MICROS);
    assertEquals(100, admitted[0], 4);
    assertEquals(900, admitted[1], 45);
    runOnLoops(loops, tenants, loopOf, new double[] {4000, 4000}, 2 * TenantQuotas.WINDOW_MICROS);
    admitted = runOnLoops(loops, tenants, loopOf, new double[] {4000, 4000}, SECOND_MICROS);
    assertEquals(500, admitted[0], 25);
    assertEquals(500, admitted[1], 25);
  }

  /** A loop whose tenants receive no more requests reserves no rate for them. */
  @Test
  void loopWithoutRequestsReservesNoRate() {
    SharedCapacity capacity = new SharedCapacity(1000, 100, 2);
    TenantQuotas[] loops = {new TenantQuotas(capacity, 0, now), new TenantQuotas(capacity, 1, now)};
    Quota[] tenants = {loops[0].register(1, null), loops[1].register(1, null)};
    int[] loopOf = {0, 1};
    runOnLoops(loops, tenants, loopOf, new double[] {4000, 4000}, SECOND_MICROS);
    runOnLoops(loops, tenants, loopOf, new double[] {0, 4000}, 5 * TenantQuotas.WINDOW_MICROS);
    assertEquals(
        1000, runOnLoops(loops, tenants, loopOf, new double[] {0, 4000}, SECOND_MICROS)[1], 50);
  }
}
