package org.coltsfootproxy.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.coltsfootproxy.admission.SeenRequests.Answer;
import org.coltsfootproxy.admission.SeenRequests.Arrival;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.RequestId;
import org.testng.annotations.Test;

/** The bounded memory against one that forgets nothing. */
public final class SeenRequestsFuzzTest {
    private static final int RUNS = 200;
    private static final int STEPS = 600;
    private static final long RETENTION = 1_000;
    private static final int MAX_IDS = 40;
    private static final Incarnation OWN = Incarnation.of(1);

    /** Copies come at any later time, however late, in any order. */
    private static void run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SeenRequests seen = SeenRequests.create(OWN, MAX_IDS, 4, RETENTION);
        Set<RequestId> ran = new HashSet<>();
        Set<RequestId> refused = new HashSet<>();
        Map<RequestId, Long> made = new HashMap<>();
        long[] next = new long[3];
        long now = 0;
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(60);
            int origin = random.nextInt(3);
            boolean isNew = random.nextBoolean();
            long sequence = isNew ? ++next[origin] : 1 + random.nextLong(next[origin] + 1);
            RequestId id = RequestId.of(origin, sequence);
            next[origin] = Math.max(next[origin], sequence);
            made.putIfAbsent(id, now);
            switch (random.nextInt(4)) {
                case 0 -> ask(seen, id, now, ran, refused);
                case 1 -> seen.ended(id, now);
                default -> arrive(seen, id, now, ran, refused, made.get(id));
            }
            assertTrue(seen.size() <= MAX_IDS);
        }
        assertTrue(ran.size() > 20, "only " + ran.size() + " ran");
    }

    private static void arrive(
            SeenRequests seen,
            RequestId id,
            long now,
            Set<RequestId> ran,
            Set<RequestId> refused,
            long made) {
        Arrival arrival = seen.arrived(id, OWN, now);
        if (arrival == Arrival.NEW) {
            assertFalse(refused.contains(id), "ran although said never seen");
            assertTrue(ran.add(id), "ran twice");
        }
        if (arrival == Arrival.REFUSED) {
            assertFalse(ran.contains(id), "called not run although it ran");
        }
        if (arrival == Arrival.TOO_LATE) {
            assertTrue(now - made >= RETENTION, "too late inside its time to live");
        }
    }

    private static void ask(
            SeenRequests seen, RequestId id, long now, Set<RequestId> ran, Set<RequestId> refused) {
        Answer answer = seen.asked(id, OWN, now);
        if (answer == Answer.NEVER_SEEN) {
            assertFalse(ran.contains(id), "said never seen although it ran");
            refused.add(id);
        }
        if (answer == Answer.HAVE || answer == Answer.ENDED) {
            assertTrue(ran.contains(id), "said known although it never came");
        }
    }

    @Test
    public void noRequestRunsTwiceOrAfterItWasSaidNeverToHaveBeenSeen() {
        for (long seed = 1; seed <= RUNS; seed++) {
            run(seed);
        }
    }

    @Test
    public void aNewLifeRefusesWhatWasSentToTheEarlierOne() {
        SeenRequests seen = SeenRequests.create(Incarnation.of(2), 10, 10, RETENTION);
        RequestId id = RequestId.of(1, 1);

        assertEquals(seen.arrived(id, OWN, 0), Arrival.OTHER_LIFE);
        assertEquals(seen.asked(id, OWN, 0), Answer.MAYBE);
        assertEquals(seen.size(), 0);
    }

    @Test
    public void aFullMemoryRefusesNewRequestsAndForgetsNone() {
        SeenRequests seen = SeenRequests.create(OWN, 2, 10, RETENTION);
        seen.arrived(RequestId.of(1, 1), OWN, 0);
        seen.arrived(RequestId.of(1, 2), OWN, 0);

        assertEquals(seen.arrived(RequestId.of(1, 3), OWN, 1), Arrival.FULL);
        assertEquals(seen.asked(RequestId.of(1, 3), OWN, 1), Answer.MAYBE);
        assertEquals(seen.arrived(RequestId.of(1, 1), OWN, 1), Arrival.COPY);
    }

    @Test
    public void whatStillRunsIsNotForgotten() {
        SeenRequests seen = SeenRequests.create(OWN, 10, 10, RETENTION);
        RequestId id = RequestId.of(1, 1);
        seen.arrived(id, OWN, 0);

        assertEquals(seen.asked(id, OWN, 10 * RETENTION), Answer.HAVE);
    }
}
