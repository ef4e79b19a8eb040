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

/** Tests {@link SeenRequests} against a model that keeps all ids. */
public final class SeenRequestsFuzzTest {
    private static final int SEEDS = 200;
    private static final int STEPS = 600;
    private static final long RETENTION_NANOS = 1_000;
    private static final int MAX_IDS = 40;
    private static final Incarnation INCARNATION = Incarnation.of(1);

    /** Delivers requests and duplicates in any order and with any delay. */
    private static void run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SeenRequests seen = SeenRequests.create(INCARNATION, MAX_IDS, 4, RETENTION_NANOS);
        Set<RequestId> ran = new HashSet<>();
        Set<RequestId> refused = new HashSet<>();
        Map<RequestId, Long> createdAt = new HashMap<>();
        long[] next = new long[3];
        long now = 0;
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(60);
            int origin = random.nextInt(3);
            boolean isNew = random.nextBoolean();
            long sequence = isNew ? ++next[origin] : 1 + random.nextLong(next[origin] + 1);
            RequestId id = RequestId.of(origin, sequence);
            next[origin] = Math.max(next[origin], sequence);
            createdAt.putIfAbsent(id, now);
            switch (random.nextInt(4)) {
                case 0 -> ask(seen, id, now, ran, refused);
                case 1 -> seen.ended(id, now);
                default -> arrive(seen, id, now, ran, refused, createdAt.get(id));
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
            long createdAt) {
        Arrival arrival = seen.arrived(id, INCARNATION, now);
        if (arrival == Arrival.NEW) {
            assertFalse(refused.contains(id), "a request ran after it was reported as never seen");
            assertTrue(ran.add(id), "a request ran twice");
        }
        if (arrival == Arrival.REFUSED) {
            assertFalse(ran.contains(id), "a request that ran was refused as never seen");
        }
        if (arrival == Arrival.TOO_LATE) {
            assertTrue(
                    now - createdAt >= RETENTION_NANOS,
                    "a request was too late within its time to live");
        }
    }

    private static void ask(
            SeenRequests seen, RequestId id, long now, Set<RequestId> ran, Set<RequestId> refused) {
        Answer answer = seen.asked(id, INCARNATION, now);
        if (answer == Answer.NEVER_SEEN) {
            assertFalse(ran.contains(id), "a request that ran was reported as never seen");
            refused.add(id);
        }
        if (answer == Answer.HAVE || answer == Answer.ENDED) {
            assertTrue(ran.contains(id), "a request that never arrived was reported as known");
        }
    }

    @Test
    public void noRequestRunsTwiceOrAfterItWasReportedAsNeverSeen() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            run(seed);
        }
    }

    @Test
    public void aNewIncarnationRefusesRequestsSentToAnEarlierOne() {
        SeenRequests seen = SeenRequests.create(Incarnation.of(2), 10, 10, RETENTION_NANOS);
        RequestId id = RequestId.of(1, 1);

        assertEquals(seen.arrived(id, INCARNATION, 0), Arrival.OTHER_INCARNATION);
        assertEquals(seen.asked(id, INCARNATION, 0), Answer.MAYBE);
        assertEquals(seen.size(), 0);
    }

    @Test
    public void newRequestsAreRefusedAndNoneForgottenWhenTheMaximumIsReached() {
        SeenRequests seen = SeenRequests.create(INCARNATION, 2, 10, RETENTION_NANOS);
        seen.arrived(RequestId.of(1, 1), INCARNATION, 0);
        seen.arrived(RequestId.of(1, 2), INCARNATION, 0);

        assertEquals(seen.arrived(RequestId.of(1, 3), INCARNATION, 1), Arrival.FULL);
        assertEquals(seen.asked(RequestId.of(1, 3), INCARNATION, 1), Answer.MAYBE);
        assertEquals(seen.arrived(RequestId.of(1, 1), INCARNATION, 1), Arrival.DUPLICATE);
    }

    @Test
    public void aRunningRequestIsNotForgotten() {
        SeenRequests seen = SeenRequests.create(INCARNATION, 10, 10, RETENTION_NANOS);
        RequestId id = RequestId.of(1, 1);
        seen.arrived(id, INCARNATION, 0);

        assertEquals(seen.asked(id, INCARNATION, 10 * RETENTION_NANOS), Answer.HAVE);
    }
}
