package org.coltsfootproxy.idempotency;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RequestId;
import org.testng.annotations.Test;

/** Tests for {@link IdempotencyLedger}. */
public final class IdempotencyLedgerTest {
    private static final int SEEDS = 100;
    private static final int STEPS = 300;
    private static final long TIMEOUT_MILLIS = 50;
    private static final IdempotencyLimits LIMITS = new IdempotencyLimits(20, 12, 8, 1_000);

    private long mIndex;

    private IdempotencyResult apply(IdempotencyLedger ledger, IdempotencyCommand command) {
        try {
            return IdempotencyResult.CODEC.decode(
                    ledger.apply(++mIndex, IdempotencyCommand.CODEC.encode(command)));
        } catch (ProxyException e) {
            throw new AssertionError(e);
        }
    }

    private static IdempotencyKey key(int index) {
        return IdempotencyKey.of(OrganisationId.of("org-" + index % 2), "key-" + index);
    }

    private static StoredAnswer answer(int size) {
        return new StoredAnswer(200, "text/plain", new byte[size], true);
    }

    private IdempotencyResult claim(
            IdempotencyLedger ledger, int key, String digest, long request, long now) {
        RequestId id = RequestId.of(1, request);
        return apply(
                ledger,
                new IdempotencyCommand.Claim(key(key), digest, id, now, now + TIMEOUT_MILLIS));
    }

    @Test
    public void aResendGetsTheStoredAnswerAndDifferentContentIsAConflict() {
        IdempotencyLedger ledger = IdempotencyLedger.create(LIMITS);
        RequestId first = RequestId.of(1, 1);
        assertEquals(claim(ledger, 0, "a", 1, 0), new IdempotencyResult.Claimed());
        assertEquals(claim(ledger, 0, "a", 1, 1), new IdempotencyResult.Claimed());
        assertEquals(claim(ledger, 0, "a", 2, 1), new IdempotencyResult.Running());
        assertEquals(claim(ledger, 0, "b", 3, 1), new IdempotencyResult.Conflict());
        apply(ledger, new IdempotencyCommand.Finish(key(0), first, answer(3), 2));
        IdempotencyResult.Answered resend =
                (IdempotencyResult.Answered) claim(ledger, 0, "a", 4, 3);

        assertEquals(resend.answer().body().length, 3);
        assertTrue(resend.answer().isBodyStored());
    }

    @Test
    public void aClaimPastItsDeadlineCountsAsPossiblyRun() {
        IdempotencyLedger ledger = IdempotencyLedger.create(LIMITS);
        claim(ledger, 0, "a", 1, 0);

        assertEquals(claim(ledger, 0, "a", 2, TIMEOUT_MILLIS), new IdempotencyResult.Running());
        assertEquals(claim(ledger, 0, "a", 2, TIMEOUT_MILLIS + 1), new IdempotencyResult.Lost());
    }

    @Test
    public void aRequestWhoseAnswerIsTooLargeToStoreStillCountsAsRun() {
        IdempotencyLedger ledger = IdempotencyLedger.create(LIMITS);
        claim(ledger, 0, "a", 1, 0);
        RequestId first = RequestId.of(1, 1);
        apply(ledger, new IdempotencyCommand.Finish(key(0), first, answer(9), 2));
        IdempotencyResult.Answered resend =
                (IdempotencyResult.Answered) claim(ledger, 0, "a", 2, 3);

        assertTrue(!resend.answer().isBodyStored());
    }

    @Test
    public void aRequestThatDidNotRunReleasesItsKey() {
        IdempotencyLedger ledger = IdempotencyLedger.create(LIMITS);
        claim(ledger, 0, "a", 1, 0);
        apply(ledger, new IdempotencyCommand.Settle(key(0), RequestId.of(1, 1), false, 1));

        assertEquals(claim(ledger, 0, "a", 2, 2), new IdempotencyResult.Claimed());
    }

    /**
     * Checks under random commands that a key is claimed at most once within its retention unless
     * its request did not run, also when the ledger is restored from snapshots.
     */
    @Test
    public void noKeyIsClaimedByTwoRequestsUnlessTheFirstDidNotRun() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            IdempotencyLedger ledger = IdempotencyLedger.create(LIMITS);
            Map<Integer, Long> claimedAt = new HashMap<>();
            Map<Integer, Long> claimant = new HashMap<>();
            long now = 0;
            for (int step = 1; step <= STEPS; step++) {
                now += random.nextInt(20);
                int key = random.nextInt(30);
                long claimantSequence = claimant.getOrDefault(key, 0L);
                RequestId id = RequestId.of(1, random.nextBoolean() ? claimantSequence : step);
                boolean isClaimant = id.sequence() == claimantSequence;
                switch (random.nextInt(5)) {
                    case 0 ->
                            apply(
                                    ledger,
                                    new IdempotencyCommand.Finish(key(key), id, answer(1), now));
                    case 1 -> apply(ledger, new IdempotencyCommand.Settle(key(key), id, true, now));
                    case 2 -> {
                        IdempotencyCommand settle =
                                new IdempotencyCommand.Settle(key(key), id, false, now);
                        if (apply(ledger, settle).equals(new IdempotencyResult.Done())) {
                            assertTrue(
                                    isClaimant, "a request released a key that it had not claimed");
                            claimedAt.remove(key);
                        }
                    }
                    default -> {
                        IdempotencyResult result = claim(ledger, key, "a", step, now);
                        if (result.equals(new IdempotencyResult.Claimed())) {
                            Long before = claimedAt.put(key, now);
                            boolean mayClaim =
                                    before == null || now - before >= LIMITS.retentionMillis();
                            assertTrue(mayClaim, "seed " + seed + ": a key was claimed twice");
                            claimant.put(key, (long) step);
                        }
                    }
                }
                assertTrue(ledger.size() <= LIMITS.maxKeys());
                if (random.nextInt(10) == 0) {
                    IdempotencyLedger restored = IdempotencyLedger.create(LIMITS);
                    restored.restore(ledger.snapshot());
                    assertEquals(restored.snapshot(), ledger.snapshot());
                    ledger = restored;
                }
            }
        }
    }
}
