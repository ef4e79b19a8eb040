package org.coltsfootproxy.idempotency;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RequestId;
import org.coltsfootproxy.consensus.StateMachine;

/**
 * The record of requests that may not be repeated, by the caller's idempotency key.
 *
 * <p>A key is claimed before its request runs. A resend through any entry learns the stored answer,
 * that it still runs, that it may have run, or that its content differs. A claimant that is lost
 * leaves its claim running until its deadline and as perhaps run from then on; nobody runs it
 * again. Keys are forgotten in the order of their claims, when their time is over and never to make
 * room. The ledger's clock is the latest time seen in a command.
 */
public final class IdempotencyLedger implements StateMachine {
    private final IdempotencyLimits mLimits;
    private final LinkedHashMap<IdempotencyKey, IdempotencyEntry> mEntries = new LinkedHashMap<>();
    private final Map<OrganisationId, Integer> mCounts = new HashMap<>();
    private long mNow;

    private IdempotencyLedger(IdempotencyLimits limits) {
        mLimits = checkNotNull(limits, "limits");
    }

    /** Returns an empty ledger. */
    public static IdempotencyLedger create(IdempotencyLimits limits) {
        return new IdempotencyLedger(limits);
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        IdempotencyResult result;
        try {
            result = apply(IdempotencyCommand.CODEC.decode(command));
        } catch (ProxyException e) {
            result = new IdempotencyResult.Ignored();
        }
        return IdempotencyResult.CODEC.encode(result);
    }

    private IdempotencyResult apply(IdempotencyCommand command) {
        mNow = Math.max(mNow, command.nowMillis());
        forget();
        if (command instanceof IdempotencyCommand.Claim claim) {
            return claim(claim);
        }
        if (command instanceof IdempotencyCommand.Finish finish) {
            return finish(finish);
        }
        if (command instanceof IdempotencyCommand.Settle settle) {
            return settle(settle);
        }
        return new IdempotencyResult.Done();
    }

    private IdempotencyResult claim(IdempotencyCommand.Claim claim) {
        IdempotencyEntry known = mEntries.get(claim.key());
        if (known == null) {
            return isFull(claim.key().organisation()) ? new IdempotencyResult.Full() : add(claim);
        }
        if (!known.digest().equals(claim.digest())) {
            return new IdempotencyResult.Conflict();
        }
        IdempotencyResult result = known.resultAt(mNow);
        boolean isOwn = known.request().equals(claim.request());
        return isOwn && result instanceof IdempotencyResult.Running
                ? new IdempotencyResult.Claimed()
                : result;
    }

    private boolean isFull(OrganisationId organisation) {
        return mEntries.size() >= mLimits.maxKeys()
                || mCounts.getOrDefault(organisation, 0) >= mLimits.maxKeysOfOne();
    }

    private IdempotencyResult add(IdempotencyCommand.Claim claim) {
        put(
                new IdempotencyEntry(
                        claim.key(),
                        claim.digest(),
                        claim.request(),
                        null,
                        false,
                        claim.deadlineMillis(),
                        mNow + mLimits.keepMillis()));
        return new IdempotencyResult.Claimed();
    }

    private void put(IdempotencyEntry entry) {
        mEntries.put(entry.key(), entry);
        mCounts.merge(entry.key().organisation(), 1, Integer::sum);
    }

    private IdempotencyResult finish(IdempotencyCommand.Finish finish) {
        IdempotencyEntry known = mEntries.get(finish.key());
        if (!isOpen(known, finish.request())) {
            return new IdempotencyResult.Ignored();
        }
        StoredAnswer answer = finish.answer().boundedTo(mLimits.maxAnswerBytes());
        mEntries.put(known.key(), known.answered(answer));
        return new IdempotencyResult.Done();
    }

    private IdempotencyResult settle(IdempotencyCommand.Settle settle) {
        IdempotencyEntry known = mEntries.get(settle.key());
        if (!isOpen(known, settle.request())) {
            return new IdempotencyResult.Ignored();
        }
        if (settle.mayHaveRun()) {
            mEntries.put(known.key(), known.lost());
        } else {
            remove(known.key());
        }
        return new IdempotencyResult.Done();
    }

    private static boolean isOpen(IdempotencyEntry entry, RequestId request) {
        return entry != null && entry.request().equals(request) && entry.answer() == null;
    }

    private void forget() {
        expired().forEach(entry -> remove(entry.key()));
    }

    private List<IdempotencyEntry> expired() {
        return mEntries.values().stream().takeWhile(entry -> entry.forgetMillis() <= mNow).toList();
    }

    private void remove(IdempotencyKey key) {
        mEntries.remove(key);
        mCounts.computeIfPresent(key.organisation(), (id, count) -> count == 1 ? null : count - 1);
    }

    /** Returns the number of keys kept. */
    public int size() {
        return mEntries.size();
    }

    @Override
    public byte[] snapshot() {
        return IdempotencySnapshot.CODEC.encode(
                new IdempotencySnapshot.Whole(mNow, List.copyOf(mEntries.values())));
    }

    @Override
    public void restore(byte[] snapshot) {
        try {
            IdempotencySnapshot.Whole image =
                    (IdempotencySnapshot.Whole) IdempotencySnapshot.CODEC.decode(snapshot);
            mEntries.clear();
            mCounts.clear();
            mNow = image.nowMillis();
            image.entries().forEach(this::put);
        } catch (ProxyException e) {
            throw new IllegalStateException("the snapshot of the once ledger is damaged", e);
        }
    }
}
