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
 * A replicated ledger of the requests that must not run twice, by idempotency key.
 *
 * <p>A key is claimed before its request runs. A resend through any entry receives the stored
 * answer, or learns that the request is running, that it may have run, or that its content differs.
 * If a claimant fails, its request counts as running until its deadline and as possibly run after
 * that; it is never run again. Keys are removed in the order of their claims once their retention
 * has ended, and never earlier to free space. The ledger's clock is the latest time seen in a
 * command.
 */
public final class IdempotencyLedger implements StateMachine {
    private final IdempotencyLimits mLimits;
    private final LinkedHashMap<IdempotencyKey, IdempotencyEntry> mEntries = new LinkedHashMap<>();
    private final Map<OrganisationId, Integer> mKeysByOrganisation = new HashMap<>();
    private long mNowMillis;

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
        mNowMillis = Math.max(mNowMillis, command.nowMillis());
        removeExpired();
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
        IdempotencyResult result = known.resultAt(mNowMillis);
        boolean isOwn = known.request().equals(claim.request());
        return isOwn && result instanceof IdempotencyResult.Running
                ? new IdempotencyResult.Claimed()
                : result;
    }

    private boolean isFull(OrganisationId organisation) {
        return mEntries.size() >= mLimits.maxKeys()
                || mKeysByOrganisation.getOrDefault(organisation, 0)
                        >= mLimits.maxKeysPerOrganisation();
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
                        mNowMillis + mLimits.retentionMillis()));
        return new IdempotencyResult.Claimed();
    }

    private void put(IdempotencyEntry entry) {
        mEntries.put(entry.key(), entry);
        mKeysByOrganisation.merge(entry.key().organisation(), 1, Integer::sum);
    }

    private IdempotencyResult finish(IdempotencyCommand.Finish finish) {
        IdempotencyEntry known = mEntries.get(finish.key());
        if (!hasUnansweredClaim(known, finish.request())) {
            return new IdempotencyResult.Ignored();
        }
        StoredAnswer answer = finish.answer().withBodyUpTo(mLimits.maxAnswerBytes());
        mEntries.put(known.key(), known.withAnswer(answer));
        return new IdempotencyResult.Done();
    }

    private IdempotencyResult settle(IdempotencyCommand.Settle settle) {
        IdempotencyEntry known = mEntries.get(settle.key());
        if (!hasUnansweredClaim(known, settle.request())) {
            return new IdempotencyResult.Ignored();
        }
        if (settle.mayHaveRun()) {
            mEntries.put(known.key(), known.withLostAnswer());
        } else {
            remove(known.key());
        }
        return new IdempotencyResult.Done();
    }

    private static boolean hasUnansweredClaim(IdempotencyEntry entry, RequestId request) {
        return entry != null && entry.request().equals(request) && entry.answer() == null;
    }

    private void removeExpired() {
        expired().forEach(entry -> remove(entry.key()));
    }

    private List<IdempotencyEntry> expired() {
        return mEntries.values().stream()
                .takeWhile(entry -> entry.forgetMillis() <= mNowMillis)
                .toList();
    }

    private void remove(IdempotencyKey key) {
        mEntries.remove(key);
        mKeysByOrganisation.computeIfPresent(
                key.organisation(), (id, count) -> count == 1 ? null : count - 1);
    }

    /** Returns the number of keys in the ledger. */
    public int size() {
        return mEntries.size();
    }

    @Override
    public byte[] snapshot() {
        return IdempotencySnapshot.CODEC.encode(
                new IdempotencySnapshot.LedgerState(mNowMillis, List.copyOf(mEntries.values())));
    }

    @Override
    public void restore(byte[] snapshot) {
        try {
            IdempotencySnapshot.LedgerState state =
                    (IdempotencySnapshot.LedgerState) IdempotencySnapshot.CODEC.decode(snapshot);
            mEntries.clear();
            mKeysByOrganisation.clear();
            mNowMillis = state.nowMillis();
            state.entries().forEach(this::put);
        } catch (ProxyException e) {
            throw new IllegalStateException("the snapshot of the idempotency ledger is damaged", e);
        }
    }
}
