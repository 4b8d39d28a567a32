package shelffront.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** A fleet of gateways, each acting alone, before hosts that started of late; seeds make every run the same. */
class ColdBudgetTest {

    private static final long SECOND = 1_000_000;

    private record Asked(ColdBudget budget, long now) { }

    /** Traffic of a gateway for 60 s: this many requests a second on the mean, a part of which needs the primary. */
    private static Asked traffic(SplittableRandom random, double rate, double owedShare) {
        ColdBudget budget = new ColdBudget(2);
        double now = 0;
        while (true) {
            now += -Math.log(1 - random.nextDouble()) / rate * SECOND;
            if (now > 60 * SECOND) {
                return new Asked(budget, 60 * SECOND);
            }
            budget.asked((long) now, random.nextDouble() < owedShare);
        }
    }

    @Test
    void writesAreMeasuredAgainstWritesAlone() {
        // 6 in 100 requests write. A host of five at a third of its capacity may have two thirds of what a warm one
        // gets, ten times the writes: none of them may be turned away for what the reads of its group would add.
        Asked a = traffic(new SplittableRandom(1), 10, 0.06);
        double budget = a.budget.budget(a.now, 0.33, 4, 40, false);
        int admitted = 0;
        for (int i = 0; i < 1_000; i++) {
            admitted += a.budget.admits(a.now, "w" + i, true, true, true, 0, budget) ? 1 : 0;
        }
        assertEquals(1_000, admitted);
    }

    @Test
    void aPrimaryGivesReadsOnlyWhatItsWritesLeave() {
        Asked a = traffic(new SplittableRandom(2), 10, 0.5);
        double budget = a.budget.budget(a.now, 0.25, 4, 200, false);      // the count of writes, 100 in the window
        int reads = 0;
        for (int i = 0; i < 1_000; i++) {
            reads += a.budget.admits(a.now, "r" + i, false, true, true, 0, budget) ? 1 : 0;
        }
        assertTrue(reads < 200, reads + " of 1000 reads on top of as many writes as it may have");
    }

    @Test
    void aPrimaryThatBearsMoreThanOthersIsMeasuredByThat() {
        // Half of all requests write, 100 in the window; a warm host of eight gets 25. At a quarter of its capacity
        // and a multiple of 4 the primary may have half of its writes, not an eighth.
        Asked a = traffic(new SplittableRandom(7), 10, 0.5);
        int admitted = 0;
        for (int i = 0; i < 1_000; i++) {
            admitted += a.budget.admits(a.now, "w" + i, true, true, true, 0,
                    a.budget.budget(a.now, 0.25, 4, 25, true)) ? 1 : 0;
        }
        assertTrue(admitted > 450 && admitted < 550, admitted + " of 1000 writes");
        assertTrue(a.budget.budget(a.now, 0.25, 4, 25, false) < 15, "a replica may not");
    }

    @Test
    void lotsOfAGroupAreOneDraw() {
        // Five cold hosts, each with a budget of a fifth of what is asked: each request meets exactly one of them.
        Asked a = traffic(new SplittableRandom(3), 10, 0);
        double budget = 200 / 5.0;
        int met = 0;
        int twice = 0;
        int[] each = new int[5];
        for (int i = 0; i < 10_000; i++) {
            int hosts = 0;
            for (int h = 0; h < 5; h++) {
                if (a.budget.admits(a.now, "r" + i, false, false, true, h * budget, budget)) {
                    hosts++;
                    each[h]++;
                }
            }
            met += hosts > 0 ? 1 : 0;
            twice += hosts > 1 ? 1 : 0;
        }
        assertTrue(met > 9_000, met + " of 10000 met a host; draws apart would let a third of them meet none");
        assertTrue(twice < 1_000, twice + " met two");
        for (int n : each) {
            assertTrue(n > 1_500 && n < 2_500, n + " to one host");
        }
    }

    @Test
    void withoutAPrimaryWritesCountWhereTheyAreTried() {
        Asked a = traffic(new SplittableRandom(4), 10, 0.5);
        int known = 0;
        int unknown = 0;
        for (int i = 0; i < 10_000; i++) {
            known += a.budget.admits(a.now, "r" + i, false, false, true, 0, 20) ? 1 : 0;
            unknown += a.budget.admits(a.now, "r" + i, false, false, false, 0, 20) ? 1 : 0;
        }
        assertTrue(unknown < known * 0.7, unknown + " against " + known);
    }

    /** Whatever the number of gateways and their traffic, together they keep near the budget of the whole. */
    @Property(tries = 40, seed = "2026")
    void theFleetKeepsToItsBudget(@ForAll @IntRange(min = 1, max = 200) int gateways,
            @ForAll @DoubleRange(min = 0.05, max = 20) double rate,
            @ForAll @DoubleRange(min = 0.2, max = 1) double warmth) {
        SplittableRandom random = new SplittableRandom(gateways * 31L + (long) (rate * 1000));
        double each = rate * ColdBudget.WINDOW / 4;           // what a warm host of four gets from each gateway
        double sent = 0;
        double mayHave = 0;
        int rounds = Math.max(1, 400 / gateways);
        for (int g = 0; g < gateways * rounds; g++) {
            Asked a = traffic(random, rate, 0);
            double budget = a.budget.budget(a.now, warmth, 2, each, false);
            // The requests of the next moment, each of which counts itself.
            a.budget.asked(a.now, false);
            int admitted = 0;
            for (int i = 0; i < 50; i++) {
                admitted += a.budget.admits(a.now, g + "-" + i, false, false, true, 0, budget) ? 1 : 0;
            }
            sent += admitted / 50.0 * rate * ColdBudget.WINDOW;
            mayHave += budget;
        }
        assertTrue(sent <= mayHave * 1.1, sent + " sent where " + mayHave + " may be");
    }

    /** What a cold host of a set of five gets in the worst fall time of a play, over what pushes it over. */
    private static double worstOverBound(int gateways, double capacity, double use, double warmth, boolean leastShare) {
        double fallSeconds = 2;
        double multiple = 3;
        double each = capacity * use * 5 / gateways;
        double n = multiple * warmth * capacity * fallSeconds;
        double bound = n + 3 * Math.sqrt(n) + 3;
        List<Double> sends = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(gateways * 1_000L + (long) (capacity * 10 + warmth * 100));
        for (int g = 0; g < gateways; g++) {
            ColdBudget budget = new ColdBudget(fallSeconds);
            double at = 0;
            while ((at += -Math.log(1 - random.nextDouble()) / each) < 220) {
                long now = (long) (at * SECOND);
                budget.asked(now, false);
                double usual = each * ColdBudget.WINDOW / 5 + 1.0 / 5;
                double may = budget.budget(now, warmth, multiple, leastShare ? Math.max(10, usual) : usual, false);
                if (at > 20 && budget.admits(now, g + "-" + at, false, false, true, 0, may)) {
                    sends.add(at);
                }
            }
        }
        Collections.sort(sends);
        int most = 0;
        for (int first = 0, last = 0; last < sends.size(); last++) {
            while (sends.get(last) - sends.get(first) > fallSeconds) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most / bound;
    }

    /**
     * The operators' bound: a cold host falls at N + 3 x root of N + 3 requests in the fall time, N being what the
     * settings allow it, from all gateways. The root counts most where N is small and gateways are many.
     */
    @Test
    void aHundredGatewaysTogetherStayUnderWhatPushesAHostOver() {
        double worst = 0;
        for (int gateways : new int[] {5, 20, 100}) {
            for (double capacity : new double[] {0.5, 2, 10, 50}) {
                for (double warmth : new double[] {0.18, 0.5, 0.9}) {
                    worst = Math.max(worst, worstOverBound(gateways, capacity, 1, warmth, false));
                }
            }
        }
        assertTrue(worst < 0.9, "at full load the worst of 200 s came to " + worst + " of the bound");
        assertTrue(worstOverBound(100, 10, 1, 0.18, true) > 1, "a least share for each gateway pushes it over");
    }

    @Test
    void aJumpOfDemandCountsAtOnce() {
        Asked a = traffic(new SplittableRandom(5), 2, 0);
        int before = 0;
        int after = 0;
        for (int i = 0; i < 1_000; i++) {
            before += a.budget.admits(a.now, "r" + i, false, false, true, 0, 20) ? 1 : 0;
        }
        for (int i = 0; i < 60; i++) {
            a.budget.asked(a.now + i * SECOND / 60, false);
        }
        for (int i = 0; i < 1_000; i++) {
            after += a.budget.admits(a.now + SECOND, "r" + i, false, false, true, 0, 20) ? 1 : 0;
        }
        assertTrue(after * 3 < before, before + " of 1000 before, " + after + " after");
    }

    @Test
    void warmthGrowsWithAgeAndStaysInBounds() {
        assertEquals(0.2, ColdBudget.warmth(0, 0.2, 10 * SECOND));
        assertEquals(0.2, ColdBudget.warmth(-SECOND, 0.2, 10 * SECOND), "started in the future by the list");
        assertEquals(0.6, ColdBudget.warmth(5 * SECOND, 0.2, 10 * SECOND), 1e-9);
        assertEquals(1, ColdBudget.warmth(10 * SECOND, 0.2, 10 * SECOND));
        assertEquals(1, ColdBudget.warmth(0, 0.2, 0), "nothing is cold where the rule gives no time");
    }

    @Test
    void theSameRequestDrawsTheSameLot() {
        Asked a = traffic(new SplittableRandom(6), 10, 0);
        for (int i = 0; i < 100; i++) {
            boolean first = a.budget.admits(a.now, "r" + i, false, false, true, 0, 50);
            assertEquals(first, a.budget.admits(a.now, "r" + i, false, false, true, 0, 50));
        }
        assertFalse(a.budget.admits(a.now, "r", false, false, true, 0, 0), "without a budget nothing goes");
    }
}
