package lemondock.admit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Admission and lateness on a clock moved by hand. */
class AdmitTest {
    private static final long MS = 1_000;
    private static final Admission.Settings SETTINGS =
            new Admission.Settings(10 * MS, 100 * MS, 500 * MS, 0.1, 0.02, 500 * MS, 5_000 * MS);

    @Test
    void aLongWaitAmongShortOnesIsNoOverload() {
        Admission it = new Admission(SETTINGS);
        for (int i = 0; i < 1_000; i++) {
            it.waited(i * 10 * MS, i % 5 == 0 ? 0 : 200 * MS);
        }
        assertEquals(1, it.share());
        assertSame(Admission.Gate.OPEN, it.gate());
    }

    @Test
    void whereEvenTheShortestWaitIsLongTheLeastValuableAreRefusedFirst() {
        Admission it = new Admission(SETTINGS);
        double low = Admission.value(1, 1_000 * MS);
        double high = Admission.value(3, 3_000 * MS);
        for (int i = 0; i < 400; i++) {
            it.arrived(i % 4 == 0 ? high : low);
        }
        long now = 0;
        for (int i = 0; i <= 10; i++) {
            it.waited(now += 10 * MS, (50 + 20 * i) * MS); // grows twice as fast as it is done
        }
        assertEquals(1 / 1.5 * (1 - 40.0 / 500), it.share(), 1e-9); // the shortest was 50 ms in 100, above a target of 10
        for (int i = 0; i < 10; i++) {
            it.waited(now += 10 * MS, 250 * MS);
        }
        assertTrue(it.gate().admits(high, 0) && it.share() < 0.25, "share " + it.share());
        assertFalse(it.gate().admits(low, 0), "a quarter is worth more, so nothing of the rest is let in");
        for (int i = 0; i < 400; i++) {
            it.waited(now += 10 * MS, 500 * MS);
        }
        assertEquals(0.02, it.share(), 1e-9);
        assertFalse(it.gate().admits(high, 0.3));
        assertTrue(it.gate().admits(high, 0.05), "never nothing at all");
        int intervals = 0;
        while (it.share() < 1) {
            for (int i = 0; i < 10; i++) {
                it.waited(now += 10 * MS, 0);
            }
            intervals++;
        }
        assertTrue(intervals <= 21, "back after " + intervals * 100 + " ms");
        assertSame(Admission.Gate.OPEN, it.gate());
    }

    @Test
    void adviceIsSpreadAndGrowsWithTheOverload() {
        Admission it = new Admission(SETTINGS);
        it.arrived(1);
        long now = 0;
        for (int i = 0; i < 25; i++) {
            it.waited(now += 10 * MS, 50 * MS);
        }
        long early = it.gate().retryAfter(0.5);
        for (int i = 0; i < 5_000; i++) {
            it.waited(now += 10 * MS, 50 * MS);
        }
        assertTrue(early >= 500 * MS && early < 1_000 * MS, "early " + early);
        assertEquals(5_000 * MS * 0.5, it.gate().retryAfter(0));
        assertTrue(it.gate().retryAfter(0.999) > 9_000 * MS);
    }

    @Test
    void aMoreUrgentClassOfTheSameWorthGoesFirst() {
        assertTrue(Admission.value(1, 500 * MS) > Admission.value(1, 5_000 * MS));
        assertTrue(Admission.value(1.01, 500_000 * MS) > Admission.value(1, 0));
    }

    /** A server of fixed capacity and a queue: goodput past saturation, with and without. Simulated. */
    @Test
    void goodputHoldsAtTenTimesTheCapacity() {
        double peak = goodput(1.0, true);
        assertTrue(peak > 0.8, "at capacity " + peak);
        for (double load : new double[] {2, 10}) {
            double with = goodput(load, true);
            double without = goodput(load, false);
            assertTrue(with >= 0.85 * peak, "at " + load + " times capacity " + with + " of " + peak);
            assertTrue(with > 3 * without, "without admission " + without);
        }
    }

    /** Worth done within 100 ms a millisecond of service, for one unit of work a millisecond. */
    private static double goodput(double load, boolean admission) {
        Admission it = new Admission(SETTINGS);
        SplittableRandom random = new SplittableRandom(1);
        double free = 0;
        double good = 0;
        double value = Admission.value(1, 100 * MS);
        int milliseconds = 20_000;
        double due = 0;
        for (int ms = 0; ms < milliseconds; ms++) {
            it.waited(ms * MS, (long) Math.max(0, free - ms) * MS);
            for (due += load; due >= 1; due--) {
                it.arrived(value);
                if (!admission || it.gate().admits(value, random.nextDouble())) {
                    free = Math.max(free, ms) + 0.98;
                    good += free - ms <= 100 && ms > 2_000 ? 1 : 0;
                } else {
                    free = Math.max(free, ms) + 0.01; // a refusal costs something too
                }
            }
        }
        return good / (milliseconds - 2_000);
    }

    @Test
    void aStallIsCountedOnceAndJudgingWaitsForTheGrace() {
        Lateness it = new Lateness(100 * MS, 300 * MS, 50 * MS);
        long now = 0;
        for (int i = 0; i < 10; i++) {
            assertEquals(now + 100 * MS, it.ticked(now));
            now += 100 * MS + 20 * MS; // a little late each time is no stall
        }
        assertEquals(0, it.stalled());
        assertEquals(0, it.putOff(now), "judged at once while nothing stalls");
        assertEquals(0, it.putOff(Long.MAX_VALUE - 1));
        now += 3_000 * MS;
        it.notice(now); // a timer or a socket runs before the tick
        it.ticked(now + 1 * MS);
        assertEquals(3_020 * MS, it.stalled());
        assertEquals(1, it.stalls());
        assertEquals(50 * MS, it.putOff(now));
        assertEquals(0, it.putOff(now + 50 * MS));
        it.ticked(now + 101 * MS);
        assertEquals(3_020 * MS, it.longest());
    }
}
