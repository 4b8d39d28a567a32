package shelffront.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import org.junit.jupiter.api.Test;

/** A gateway of 1,000 requests a second; each admitted one ends 10 ms later. */
class TenantQuotasTest {

  private static final long SECOND = 1_000_000;
  private static final long TOOK = 10_000;

  private long now = 5 * SECOND;
  private final TenantQuotas shares = new TenantQuotas(1000, 100, now);

  /** Each asks evenly at its rate for the given time; gives what each was admitted a second. */
  private double[] run(Quota[] who, double[] rates, long time) {
    double[] admitted = new double[who.length];
    double[] due = new double[who.length];
    ArrayDeque<long[]> out = new ArrayDeque<>();
    for (long end = now + time; now < end; now += 100) {
      while (!out.isEmpty() && out.peek()[0] <= now) {
        shares.release(who[(int) out.poll()[1]]);
      }
      for (int i = 0; i < who.length; i++) {
        for (due[i] += rates[i] / 1e4; due[i] >= 1; due[i]--) {
          if (shares.admit(who[i], 0, now) == 0) {
            admitted[i]++;
            out.add(new long[] {now + TOOK, i});
          }
        }
      }
    }
    out.forEach(o -> shares.release(who[(int) o[1]]));
    for (int i = 0; i < who.length; i++) {
      admitted[i] *= 1e6 / time;
    }
    return admitted;
  }

  @Test
  void oneAloneHasAll() {
    Quota a = shares.register(1, null);
    shares.register(9, null);
    run(new Quota[] {a}, new double[] {5000}, SECOND);
    assertEquals(1000, run(new Quota[] {a}, new double[] {5000}, SECOND)[0], 30);
  }

  @Test
  void threeThatFloodHaveTheirWeights() {
    Quota[] three = {shares.register(1, null), shares.register(2, null), shares.register(4, null)};
    run(three, new double[] {4000, 4000, 4000}, SECOND);
    double[] got = run(three, new double[] {4000, 4000, 4000}, 2 * SECOND);
    assertEquals(1000.0 / 7, got[0], 0.05 * 1000 / 7);
    assertEquals(2000.0 / 7, got[1], 0.05 * 2000 / 7);
    assertEquals(4000.0 / 7, got[2], 0.05 * 4000 / 7);
  }

  @Test
  void oneWithinItsShareIsNotRefusedThoughAnotherFloods() {
    Quota[] two = {shares.register(1, null), shares.register(1, null)};
    run(two, new double[] {400, 5000}, SECOND);
    double[] got = run(two, new double[] {400, 5000}, SECOND);
    assertEquals(400, got[0], 4);
    assertEquals(600, got[1], 30);
  }

  /** The stated time: one window, in which it has its own part already. */
  @Test
  void oneThatReturnsHasItsPartAtOnce() {
    Quota[] two = {shares.register(1, null), shares.register(1, null)};
    run(two, new double[] {0, 5000}, 5 * SECOND);
    assertEquals(400, run(two, new double[] {400, 5000}, 2 * TenantQuotas.WINDOW_MICROS)[0], 20);
  }

  @Test
  void aWeightCutWhileItFloodsGivesTheOthersTheirPartWithinAWindow() {
    Quota[] two = {shares.register(9, null), shares.register(1, null)};
    run(two, new double[] {5000, 5000}, SECOND);
    assertEquals(100, run(two, new double[] {5000, 5000}, SECOND)[1], 10);
    shares.updateWeights(two[0], 1, null);
    run(two, new double[] {5000, 5000}, TenantQuotas.WINDOW_MICROS);
    assertEquals(500, run(two, new double[] {5000, 5000}, SECOND)[1], 25);
  }

  @Test
  void classesOfATenantShareWhatItHas() {
    Quota a = shares.register(1, new double[] {1, 3});
    double[] admitted = new double[2];
    for (int turn = 0; turn < 20_000; turn++, now += 100) {
      for (int c = 0; c < 2; c++) {
        if (shares.admit(a, c, now) == 0) {
          shares.release(a);
          admitted[c] += turn >= 10_000 ? 1 : 0;
        }
      }
    }
    assertEquals(250, admitted[0], 15);
    assertEquals(750, admitted[1], 40);
  }

  @Test
  void placesHeldBeyondItsOwnLeaveRoomForTheOthers() {
    TenantQuotas places = new TenantQuotas(0, 100, now);
    Quota a = places.register(1, null);
    Quota b = places.register(1, null);
    int held = 0;
    while (places.admit(a, 0, now) == 0) {
      held++;
    }
    assertEquals(75, held);
    int others = 0;
    while (places.admit(b, 0, now) == 0) {
      others++;
    }
    assertEquals(25, others);
    for (int i = 0; i < 20; i++) {
      places.release(a);
    }
    assertTrue(
        places.admit(b, 0, now) == 0 && places.admit(a, 0, now) > 0,
        "b is under its own half, a is not");
    assertEquals(81, places.openRequests());
  }

  /** 2,000 tenants that rest cost a busy one nothing: they are not among those who ask. */
  @Test
  void thoseWhoAskForNothingAreForgotten() {
    for (int i = 0; i < 2000; i++) {
      Quota s = shares.register(1, null);
      assertEquals(0, shares.admit(s, 0, now));
      shares.release(s);
      now += 2000;
    }
    Quota a = shares.register(1, null);
    run(new Quota[] {a}, new double[] {5000}, 3 * SECOND);
    assertEquals(1000, run(new Quota[] {a}, new double[] {5000}, SECOND)[0], 30);
  }

  /**
   * Tenants of two loops that all flood: together no more than the rate, and each by its weight.
   */
  @Test
  void tenantsOfSeveralLoopsHaveTheirWeightsOfTheWhole() {
    SharedCapacity common = new SharedCapacity(1000, 100, 2);
    TenantQuotas[] loops = {new TenantQuotas(common, 0, now), new TenantQuotas(common, 1, now)};
    Quota[] who = {
      loops[0].register(1, null), loops[1].register(1, null), loops[1].register(2, null)
    };
    int[] on = {0, 1, 1};
    double[] got = acrossLoops(loops, who, on, new double[] {4000, 4000, 4000}, SECOND);
    got = acrossLoops(loops, who, on, new double[] {4000, 4000, 4000}, 2 * SECOND);
    assertEquals(250, got[0], 15);
    assertEquals(250, got[1], 15);
    assertEquals(500, got[2], 30);
    assertEquals(0, common.openRequests(), "places");
  }

  /** What one loop's tenants leave idle the other's use, and give back within two windows. */
  @Test
  void whatOneLoopLeavesIdleTheOtherUses() {
    SharedCapacity common = new SharedCapacity(1000, 100, 2);
    TenantQuotas[] loops = {new TenantQuotas(common, 0, now), new TenantQuotas(common, 1, now)};
    Quota[] who = {loops[0].register(1, null), loops[1].register(1, null)};
    int[] on = {0, 1};
    acrossLoops(loops, who, on, new double[] {100, 4000}, SECOND);
    double[] got = acrossLoops(loops, who, on, new double[] {100, 4000}, SECOND);
    assertEquals(100, got[0], 4);
    assertEquals(900, got[1], 45);
    acrossLoops(loops, who, on, new double[] {4000, 4000}, 2 * TenantQuotas.WINDOW_MICROS);
    got = acrossLoops(loops, who, on, new double[] {4000, 4000}, SECOND);
    assertEquals(500, got[0], 25);
    assertEquals(500, got[1], 25);
  }

  /** A loop whose tenants are no longer asked keeps nothing of the rate for them. */
  @Test
  void aLoopThatFallsSilentHoldsNothingBack() {
    SharedCapacity common = new SharedCapacity(1000, 100, 2);
    TenantQuotas[] loops = {new TenantQuotas(common, 0, now), new TenantQuotas(common, 1, now)};
    Quota[] who = {loops[0].register(1, null), loops[1].register(1, null)};
    int[] on = {0, 1};
    acrossLoops(loops, who, on, new double[] {4000, 4000}, SECOND);
    acrossLoops(loops, who, on, new double[] {0, 4000}, 5 * TenantQuotas.WINDOW_MICROS);
    assertEquals(1000, acrossLoops(loops, who, on, new double[] {0, 4000}, SECOND)[1], 50);
  }

  private double[] acrossLoops(
      TenantQuotas[] loops, Quota[] who, int[] on, double[] rates, long time) {
    double[] admitted = new double[who.length];
    double[] due = new double[who.length];
    ArrayDeque<long[]> out = new ArrayDeque<>();
    for (long end = now + time; now < end; now += 100) {
      while (!out.isEmpty() && out.peek()[0] <= now) {
        int i = (int) out.poll()[1];
        loops[on[i]].release(who[i]);
      }
      for (int i = 0; i < who.length; i++) {
        for (due[i] += rates[i] / 1e4; due[i] >= 1; due[i]--) {
          if (loops[on[i]].admit(who[i], 0, now) == 0) {
            admitted[i]++;
            out.add(new long[] {now + TOOK, i});
          }
        }
      }
    }
    out.forEach(o -> loops[on[(int) o[1]]].release(who[(int) o[1]]));
    for (int i = 0; i < who.length; i++) {
      admitted[i] *= 1e6 / time;
    }
    return admitted;
  }
}
