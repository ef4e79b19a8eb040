package org.coltsfootproxy.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.message.LimitMessage.Grant;
import org.coltsfootproxy.message.LimitMessage.Recall;
import org.coltsfootproxy.message.LimitMessage.Return;
import org.coltsfootproxy.message.LimitMessage.TokenRequest;
import org.coltsfootproxy.node.Effects;

/**
 * The client side of {@link GrantLimiter}: uses granted tokens and asks the owner before it
 * refuses.
 *
 * <p>If no token is available, a request waits for the answer to a token request that was sent
 * after the request arrived. Used tokens are reported with the next token request, after an idle
 * time, or when the owner runs short of tokens and sends a recall.
 */
final class LimitClient {
    private static final double SECOND_NANOS = 1e9;
    private static final long NOTHING_DUE = Long.MAX_VALUE;

    /** The decision on a request that waited. */
    record Decided(long call, Decision decision) {}

    private final HostId mSelf;
    private final long mIncarnation;
    private final LimitSettings mSettings;
    private final OwnerLease mLeases;
    private final Map<OrganisationId, TokenHolding> mHoldings = new HashMap<>();
    private final DueQueue<OrganisationId> mDue = new DueQueue<>();
    private final List<Decided> mDecided = new ArrayList<>();
    private long mEpoch;

    LimitClient(HostId self, long incarnation, LimitSettings settings, OwnerLease leases) {
        mSelf = checkNotNull(self, "host");
        mIncarnation = incarnation;
        mSettings = checkNotNull(settings, "settings");
        mLeases = checkNotNull(leases, "leases");
    }

    /** Decides on a request, or lets it wait for the owner's answer. */
    Decision tryAcquire(OrganisationId organisation, long call, long now, Effects out) {
        TokenHolding holding = holding(organisation, now);
        holding.recordDemand(now);
        if (holding.tokens() > 0 && holding.waiters().isEmpty()) {
            holding.recordUse(now);
            askForPrefetch(organisation, holding, now, out);
            mDue.scheduleAtLatest(organisation, now + mSettings.idleNanos());
            return Decision.ADMITTED;
        }
        if (holding.waiters().size() >= mSettings.maxWaiting()) {
            return Decision.unavailable(mSettings.minIntervalNanos());
        }
        holding.waiters().add(new TokenHolding.Waiter(call, now));
        askForWaiters(organisation, holding, now, out);
        return Decision.WAIT;
    }

    private TokenHolding holding(OrganisationId organisation, long now) {
        TokenHolding holding =
                mHoldings.computeIfAbsent(
                        organisation, id -> new TokenHolding(mIncarnation, () -> ++mEpoch));
        holding.refresh(mLeases.owner(Shards.of(organisation)).orElse(null), now);
        return holding;
    }

    private void askForPrefetch(
            OrganisationId organisation, TokenHolding holding, long now, Effects out) {
        int prefetch = prefetchTokens(holding, now);
        boolean isLow = holding.tokens() * 2 < prefetch;
        if (isLow && !holding.isAskPending() && now >= holding.earliestAskAt()) {
            requestTokens(organisation, holding, now, out);
        }
    }

    /** Returns how many tokens to hold for expected demand; 0 if this entry is the owner. */
    private int prefetchTokens(TokenHolding holding, long now) {
        if (holding.owner() != null && holding.owner().host().equals(mSelf)) {
            return 0;
        }
        return (int) (holding.demandAt(now) * mSettings.prefetchNanos() / SECOND_NANOS);
    }

    private void askForWaiters(
            OrganisationId organisation, TokenHolding holding, long now, Effects out) {
        boolean mayAsk = !holding.isAskPending() && now >= holding.earliestAskAt();
        if (mayAsk && holding.owner() != null) {
            requestTokens(organisation, holding, now, out);
        }
        mDue.scheduleAtLatest(organisation, nextDue(holding, now));
    }

    private void requestTokens(
            OrganisationId organisation, TokenHolding holding, long now, Effects out) {
        long idle = holding.idleNanos(now);
        int need = holding.waiters().size();
        long missing = Math.max(0, prefetchTokens(holding, now) - holding.tokens());
        TokenRequest request =
                new TokenRequest(
                        organisation,
                        holding.grantEpoch(),
                        holding.recordAsk(now),
                        holding.used(),
                        holding.returned(),
                        idle,
                        need,
                        (int) missing);
        out.send(holding.owner().host(), request);
        mDue.scheduleAtLatest(organisation, holding.repeatAskAt(mSettings.askTimeoutNanos()));
    }

    void handleGrant(HostId from, Grant grant, long now, Effects out) {
        TokenHolding holding = mHoldings.get(grant.organisation());
        if (holding == null || !holding.matches(from, grant.grantEpoch())) {
            return;
        }
        holding.applyGrant(grant, now);
        holding.refresh(holding.owner(), now);
        serveWaiters(holding, now);
        if (grant.retryNanos() > 0) {
            refuse(holding, grant, now);
        }
        if (!holding.waiters().isEmpty()) {
            askForWaiters(grant.organisation(), holding, now, out);
        }
        mDue.scheduleAtLatest(grant.organisation(), now + mSettings.idleNanos());
    }

    private void serveWaiters(TokenHolding holding, long now) {
        while (holding.tokens() > 0 && !holding.waiters().isEmpty()) {
            holding.recordUse(now);
            decide(holding.waiters().remove(), Decision.ADMITTED);
        }
    }

    /**
     * Refuses requests that waited when the token request was sent, unless the bucket is
     * recovering.
     */
    private void refuse(TokenHolding holding, Grant grant, long now) {
        long delay = Math.min(grant.retryNanos(), mSettings.minIntervalNanos());
        holding.earliestAskAt(now + delay);
        while (!grant.recovering() && isAnswered(holding, grant)) {
            decide(holding.waiters().remove(), Decision.refused(grant.retryNanos()));
        }
    }

    private static boolean isAnswered(TokenHolding holding, Grant grant) {
        TokenHolding.Waiter first = holding.waiters().peek();
        return first != null && first.since() <= grant.askedNanos();
    }

    private void decide(TokenHolding.Waiter waiter, Decision decision) {
        mDecided.add(new Decided(waiter.call(), decision));
    }

    void handleRecall(HostId from, Recall recall, long now, Effects out) {
        TokenHolding holding = mHoldings.get(recall.organisation());
        if (holding != null && holding.matches(from, recall.grantEpoch())) {
            holding.refresh(holding.owner(), now);
            returnTokens(recall.organisation(), holding, now, out);
        }
    }

    private void returnTokens(
            OrganisationId organisation, TokenHolding holding, long now, Effects out) {
        holding.returnAll();
        out.send(
                holding.owner().host(),
                new Return(
                        organisation,
                        holding.grantEpoch(),
                        holding.used(),
                        holding.returned(),
                        holding.idleNanos(now)));
    }

    void cancel(OrganisationId organisation, long call) {
        Optional.ofNullable(mHoldings.get(organisation))
                .ifPresent(h -> h.waiters().removeIf(waiter -> waiter.call() == call));
    }

    void tick(long now, Effects out) {
        Optional<OrganisationId> due = mDue.poll(now);
        while (due.isPresent()) {
            tick(due.get(), now, out);
            due = mDue.poll(now);
        }
    }

    private void tick(OrganisationId organisation, long now, Effects out) {
        TokenHolding holding = holding(organisation, now);
        expireWaiters(holding, now);
        if (holding.owner() == null) {
            scheduleOrForget(organisation, holding, now);
            return;
        }
        boolean isUnanswered =
                holding.isAskPending() && now >= holding.repeatAskAt(mSettings.askTimeoutNanos());
        boolean isWaiting = !holding.waiters().isEmpty();
        if (isWaiting
                && (isUnanswered || !holding.isAskPending() && now >= holding.earliestAskAt())) {
            requestTokens(organisation, holding, now, out);
        } else if (holding.idleNanos(now) >= mSettings.idleNanos() && holding.needsReturn()) {
            returnTokens(organisation, holding, now, out);
        }
        scheduleOrForget(organisation, holding, now);
    }

    private void expireWaiters(TokenHolding holding, long now) {
        long expiredSince = now - mSettings.maxWaitNanos();
        while (!holding.waiters().isEmpty() && holding.waiters().peek().since() <= expiredSince) {
            decide(holding.waiters().remove(), Decision.unavailable(mSettings.minIntervalNanos()));
        }
    }

    private void scheduleOrForget(OrganisationId organisation, TokenHolding holding, long now) {
        long next = nextDue(holding, now);
        if (next == NOTHING_DUE) {
            mHoldings.remove(organisation);
        } else {
            mDue.scheduleAtLatest(organisation, next);
        }
    }

    /** Returns when a holding is next due, or {@link #NOTHING_DUE} if it can be dropped. */
    private long nextDue(TokenHolding holding, long now) {
        if (!holding.waiters().isEmpty()) {
            long retry =
                    holding.isAskPending()
                            ? holding.repeatAskAt(mSettings.askTimeoutNanos())
                            : holding.earliestAskAt();
            long nextAskAt = holding.owner() == null ? now + mSettings.askTimeoutNanos() : retry;
            return Math.max(now + 1, Math.min(nextAskAt, waitExpiresAt(holding)));
        }
        boolean isHolding = holding.needsReturn();
        if (!isHolding && holding.idleNanos(now) >= mSettings.grantLifetimeNanos()) {
            return NOTHING_DUE;
        }
        long delay = isHolding ? mSettings.idleNanos() : mSettings.grantLifetimeNanos();
        return Math.max(now + 1, now - holding.idleNanos(now) + delay);
    }

    private long waitExpiresAt(TokenHolding holding) {
        return holding.waiters().peek().since() + mSettings.maxWaitNanos();
    }

    long nextTickNanos() {
        return mDue.nextNanos();
    }

    void stop(long now, Effects out) {
        mHoldings.forEach(
                (organisation, holding) -> {
                    if (holding.owner() != null && holding.tokens() > 0) {
                        returnTokens(organisation, holding, now, out);
                    }
                });
    }

    /** Returns the decisions made since the last call and clears them. */
    List<Decided> takeDecided() {
        List<Decided> taken = List.copyOf(mDecided);
        mDecided.clear();
        return taken;
    }
}
