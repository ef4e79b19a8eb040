package org.coltsfootproxy.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.message.LimitMessage.Ask;
import org.coltsfootproxy.message.LimitMessage.Grant;
import org.coltsfootproxy.message.LimitMessage.Recall;
import org.coltsfootproxy.message.LimitMessage.Return;
import org.coltsfootproxy.node.Effects;

/**
 * The entry's side of the limiter: uses granted tokens, asks the owner before it refuses.
 *
 * <p>A request without a token waits until an ask that was sent after it came is answered. What was
 * used is told with the next ask or after an idle time; when the owner runs short before that, it
 * calls for it.
 */
final class LimitClient {
    private static final double SECOND_NANOS = 1e9;
    private static final long NO_WAIT = Long.MAX_VALUE;

    /** The decision on a request that waited. */
    record Decided(long call, Decision decision) {}

    private final HostId mSelf;
    private final long mLife;
    private final LimitSettings mSettings;
    private final OwnerLease mLeases;
    private final Map<OrganisationId, TokenHolding> mHoldings = new HashMap<>();
    private final DueQueue<OrganisationId> mDue = new DueQueue<>();
    private final List<Decided> mDecided = new ArrayList<>();
    private long mEpoch;

    LimitClient(HostId self, long life, LimitSettings settings, OwnerLease leases) {
        mSelf = checkNotNull(self, "host");
        mLife = life;
        mSettings = checkNotNull(settings, "settings");
        mLeases = checkNotNull(leases, "leases");
    }

    /** Decides, or makes the request wait. */
    Decision tryAcquire(OrganisationId organisation, long call, long now, Effects out) {
        TokenHolding holding = holding(organisation, now);
        holding.demand(now);
        if (holding.tokens() > 0 && holding.waiters().isEmpty()) {
            holding.use(now);
            askAhead(organisation, holding, now, out);
            mDue.atLatest(organisation, now + mSettings.idleNanos());
            return Decision.ADMITTED;
        }
        if (holding.waiters().size() >= mSettings.maxWaiting()) {
            return Decision.unavailable(mSettings.spacingNanos());
        }
        holding.waiters().add(new TokenHolding.Waiter(call, now));
        askForWaiters(organisation, holding, now, out);
        return Decision.WAIT;
    }

    private TokenHolding holding(OrganisationId organisation, long now) {
        TokenHolding holding =
                mHoldings.computeIfAbsent(
                        organisation, id -> new TokenHolding(mLife, () -> ++mEpoch));
        holding.refresh(mLeases.owner(Shards.of(organisation)).orElse(null), now);
        return holding;
    }

    private void askAhead(
            OrganisationId organisation, TokenHolding holding, long now, Effects out) {
        int ahead = ahead(holding, now);
        boolean isLow = holding.tokens() * 2 < ahead;
        if (isLow && !holding.isAskOpen() && now >= holding.notBefore()) {
            ask(organisation, holding, now, out);
        }
    }

    /** Returns the tokens worth holding for the demand expected soon. */
    private int ahead(TokenHolding holding, long now) {
        if (holding.owner() != null && holding.owner().host().equals(mSelf)) {
            return 0;
        }
        return (int) (holding.demandAt(now) * mSettings.aheadNanos() / SECOND_NANOS);
    }

    private void askForWaiters(
            OrganisationId organisation, TokenHolding holding, long now, Effects out) {
        boolean mayAsk = !holding.isAskOpen() && now >= holding.notBefore();
        if (mayAsk && holding.owner() != null) {
            ask(organisation, holding, now, out);
        }
        mDue.atLatest(organisation, nextDue(holding, now));
    }

    private void ask(OrganisationId organisation, TokenHolding holding, long now, Effects out) {
        long idle = holding.idleNanos(now);
        int need = holding.waiters().size();
        long lacking = Math.max(0, ahead(holding, now) - holding.tokens());
        Ask ask =
                new Ask(
                        organisation,
                        holding.account(),
                        holding.asked(now),
                        holding.used(),
                        holding.returned(),
                        idle,
                        need,
                        (int) lacking);
        out.send(holding.owner().host(), ask);
        mDue.atLatest(organisation, holding.repeatAt(mSettings.askTimeoutNanos()));
    }

    void granted(HostId from, Grant grant, long now, Effects out) {
        TokenHolding holding = mHoldings.get(grant.organisation());
        if (holding == null || !holding.isFrom(from, grant.account())) {
            return;
        }
        holding.granted(grant, now);
        holding.refresh(holding.owner(), now);
        serveWaiters(holding, now);
        if (grant.retryNanos() > 0) {
            refuse(holding, grant, now);
        }
        if (!holding.waiters().isEmpty()) {
            askForWaiters(grant.organisation(), holding, now, out);
        }
        mDue.atLatest(grant.organisation(), now + mSettings.idleNanos());
    }

    private void serveWaiters(TokenHolding holding, long now) {
        while (holding.tokens() > 0 && !holding.waiters().isEmpty()) {
            holding.use(now);
            decide(holding.waiters().remove(), Decision.ADMITTED);
        }
    }

    /** Refuses those who waited when the ask was sent, unless the bucket recovers from a loss. */
    private void refuse(TokenHolding holding, Grant grant, long now) {
        long pause = Math.min(grant.retryNanos(), mSettings.spacingNanos());
        holding.notBefore(now + pause);
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

    void recalled(HostId from, Recall recall, long now, Effects out) {
        TokenHolding holding = mHoldings.get(recall.organisation());
        if (holding != null && holding.isFrom(from, recall.account())) {
            holding.refresh(holding.owner(), now);
            giveBack(recall.organisation(), holding, now, out);
        }
    }

    private void giveBack(
            OrganisationId organisation, TokenHolding holding, long now, Effects out) {
        holding.giveBack();
        out.send(
                holding.owner().host(),
                new Return(
                        organisation,
                        holding.account(),
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
        giveUp(holding, now);
        if (holding.owner() == null) {
            scheduleOrForget(organisation, holding, now);
            return;
        }
        boolean isUnanswered =
                holding.isAskOpen() && now >= holding.repeatAt(mSettings.askTimeoutNanos());
        boolean isWaiting = !holding.waiters().isEmpty();
        if (isWaiting && (isUnanswered || !holding.isAskOpen() && now >= holding.notBefore())) {
            ask(organisation, holding, now, out);
        } else if (holding.idleNanos(now) >= mSettings.idleNanos() && holding.wantsReturn()) {
            giveBack(organisation, holding, now, out);
        }
        scheduleOrForget(organisation, holding, now);
    }

    private void giveUp(TokenHolding holding, long now) {
        long oldest = now - mSettings.maxWaitNanos();
        while (!holding.waiters().isEmpty() && holding.waiters().peek().since() <= oldest) {
            decide(holding.waiters().remove(), Decision.unavailable(mSettings.spacingNanos()));
        }
    }

    private void scheduleOrForget(OrganisationId organisation, TokenHolding holding, long now) {
        long next = nextDue(holding, now);
        if (next == NO_WAIT) {
            mHoldings.remove(organisation);
        } else {
            mDue.atLatest(organisation, next);
        }
    }

    /** Returns when something is to be done about a holding, or never if nothing is left of it. */
    private long nextDue(TokenHolding holding, long now) {
        if (!holding.waiters().isEmpty()) {
            long retry =
                    holding.isAskOpen()
                            ? holding.repeatAt(mSettings.askTimeoutNanos())
                            : holding.notBefore();
            long soon = holding.owner() == null ? now + mSettings.askTimeoutNanos() : retry;
            return Math.max(now + 1, Math.min(soon, giveUpAt(holding)));
        }
        boolean isHolding = holding.wantsReturn();
        if (!isHolding && holding.idleNanos(now) >= mSettings.grantLifeNanos()) {
            return NO_WAIT;
        }
        long pause = isHolding ? mSettings.idleNanos() : mSettings.grantLifeNanos();
        return Math.max(now + 1, now - holding.idleNanos(now) + pause);
    }

    private long giveUpAt(TokenHolding holding) {
        return holding.waiters().peek().since() + mSettings.maxWaitNanos();
    }

    long nextTickNanos() {
        return mDue.nextNanos();
    }

    void stop(long now, Effects out) {
        mHoldings.forEach(
                (organisation, holding) -> {
                    if (holding.owner() != null && holding.tokens() > 0) {
                        giveBack(organisation, holding, now, out);
                    }
                });
    }

    /** Returns and forgets the decisions made since the last call. */
    List<Decided> takeDecided() {
        List<Decided> taken = List.copyOf(mDecided);
        mDecided.clear();
        return taken;
    }
}
