package org.coltsfootproxy.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.message.LimitMessage.Account;
import org.coltsfootproxy.message.LimitMessage.Ask;
import org.coltsfootproxy.message.LimitMessage.Grant;
import org.coltsfootproxy.message.LimitMessage.Recall;
import org.coltsfootproxy.message.LimitMessage.Return;
import org.coltsfootproxy.node.Effects;

/**
 * The owner of token buckets, at the entry that holds the lease of their shards.
 *
 * <p>Grants end with the lease at the latest. An ask that finds too few tokens while other entries
 * hold some is parked until they gave back what they don't need, at most for the recall wait.
 */
final class LimitOwner {
    private static final long SWEEP_NANOS = 10_000_000_000L;

    private final LimitSettings mSettings;
    private final OwnerLease mLeases;
    private final Map<OrganisationId, Bucket> mBuckets = new HashMap<>();
    private final Map<OrganisationId, Map<Bucket.Holder, Ask>> mParked = new HashMap<>();
    private final DueQueue<OrganisationId> mDue = new DueQueue<>();
    private ConfigView mView = ConfigView.empty();
    private long mNextSweep = Long.MIN_VALUE;

    LimitOwner(LimitSettings settings, OwnerLease leases) {
        mSettings = checkNotNull(settings, "settings");
        mLeases = checkNotNull(leases, "leases");
    }

    void ask(HostId from, Ask ask, long now, Effects out) {
        Optional<Bucket> bucket = bucket(ask.organisation(), ask.account().fencing(), now);
        bucket.ifPresent(b -> ask(b, holder(from, ask.account()), ask, now, out));
    }

    private static Bucket.Holder holder(HostId from, Account account) {
        return new Bucket.Holder(from, account.life());
    }

    private void ask(Bucket bucket, Bucket.Holder holder, Ask ask, long now, Effects out) {
        GrantTotals grantee = bucket.account(holder, ask.account().epoch());
        if (grantee == null || !grantee.isNewAsk(ask.askedNanos())) {
            return;
        }
        bucket.settle(grantee, ask.used(), ask.returned(), ask.idleNanos(), now);
        if (bucket.whole() < ask.need() && bucket.isHeldElsewhere(holder)) {
            park(bucket, holder, ask, now, out);
        } else {
            answer(bucket, holder, ask, now, out);
        }
    }

    private void park(Bucket bucket, Bucket.Holder holder, Ask ask, long now, Effects out) {
        OrganisationId organisation = ask.organisation();
        mParked.computeIfAbsent(organisation, id -> new LinkedHashMap<>()).put(holder, ask);
        if (bucket.mayRecall(now, mSettings.spacingNanos())) {
            bucket.grantees().stream()
                    .filter(e -> !e.getKey().equals(holder) && e.getValue().outstanding() > 0)
                    .forEach(
                            e ->
                                    out.send(
                                            e.getKey().host(),
                                            recall(
                                                    organisation,
                                                    bucket,
                                                    e.getKey(),
                                                    e.getValue())));
        }
        mDue.atLatest(organisation, now + mSettings.recallWaitNanos());
    }

    private static Recall recall(
            OrganisationId organisation, Bucket bucket, Bucket.Holder holder, GrantTotals grantee) {
        return new Recall(
                organisation, new Account(bucket.fencing(), holder.life(), grantee.epoch()));
    }

    private void answer(Bucket bucket, Bucket.Holder holder, Ask ask, long now, Effects out) {
        GrantTotals grantee = bucket.account(holder, ask.account().epoch());
        Optional<OwnerLease.Held> lease = lease(ask.organisation(), now);
        if (grantee == null || lease.isEmpty()) {
            return;
        }
        long life = Math.min(mSettings.grantLifeNanos(), lease.get().untilNanos() - now);
        long given = bucket.grant(grantee, ask.need(), ask.ahead(), now + life);
        long retry = given < ask.need() ? bucket.nanosToToken() : 0;
        Grant grant =
                new Grant(
                        ask.organisation(),
                        ask.account(),
                        ask.askedNanos(),
                        grantee.granted(),
                        life,
                        retry,
                        bucket.isRecovering(now));
        out.send(holder.host(), grant);
    }

    void giveBack(HostId from, Return message, long now, Effects out) {
        Account account = message.account();
        Optional<Bucket> bucket = bucket(message.organisation(), account.fencing(), now);
        bucket.ifPresent(
                b -> {
                    GrantTotals grantee = b.account(holder(from, account), account.epoch());
                    if (grantee != null) {
                        b.settle(
                                grantee,
                                message.used(),
                                message.returned(),
                                message.idleNanos(),
                                now);
                        serveParked(message.organisation(), b, false, now, out);
                    }
                });
    }

    /** Answers parked asks in order: those whose need is there, or all of them. */
    private void serveParked(
            OrganisationId organisation, Bucket bucket, boolean all, long now, Effects out) {
        Map<Bucket.Holder, Ask> parked = mParked.getOrDefault(organisation, Map.of());
        var left = parked.entrySet().iterator();
        while (left.hasNext()) {
            var next = left.next();
            if (!all && bucket.whole() < next.getValue().need()) {
                return;
            }
            left.remove();
            answer(bucket, next.getKey(), next.getValue(), now, out);
        }
        mParked.remove(organisation);
    }

    void tick(long now, Effects out) {
        Optional<OrganisationId> due = mDue.poll(now);
        while (due.isPresent()) {
            OrganisationId organisation = due.get();
            Optional<Bucket> bucket = owned(organisation, now);
            bucket.ifPresentOrElse(
                    b -> serveParked(organisation, b, true, now, out),
                    () -> mParked.remove(organisation));
            due = mDue.poll(now);
        }
        sweep(now);
    }

    private void sweep(long now) {
        if (now >= mNextSweep) {
            mNextSweep = now + SWEEP_NANOS;
            mBuckets.entrySet()
                    .removeIf(
                            e ->
                                    lease(e.getKey(), now).isEmpty()
                                            || e.getValue().isForgettable(now));
        }
    }

    long nextTickNanos() {
        return mDue.nextNanos();
    }

    /** Fills the buckets whose rates change, at the old rates up to now, and changes them. */
    void configure(ConfigView view, long now) {
        ConfigView before = mView;
        List<Organisation> changed =
                before.organisations()
                        .filter(old -> !view.organisation(old.id()).equals(Optional.of(old)))
                        .collect(Collectors.toList());
        List<Bucket> buckets =
                changed.stream()
                        .flatMap(old -> owned(old.id(), now).stream())
                        .collect(Collectors.toList());
        mView = view;
        buckets.forEach(
                bucket -> view.organisation(bucket.organisation()).ifPresent(bucket::change));
    }

    private Optional<Bucket> owned(OrganisationId organisation, long now) {
        return lease(organisation, now).flatMap(held -> bucket(organisation, held.fencing(), now));
    }

    /** Returns the filled bucket if this host owns it under the given fencing number. */
    private Optional<Bucket> bucket(OrganisationId organisation, long fencing, long now) {
        Optional<OwnerLease.Held> lease =
                lease(organisation, now).filter(held -> held.fencing() == fencing);
        Optional<Organisation> rates = mView.organisation(organisation);
        if (lease.isEmpty() || rates.isEmpty()) {
            return Optional.empty();
        }
        Bucket known = mBuckets.get(organisation);
        if (known == null || known.fencing() != fencing) {
            known = Bucket.create(rates.get(), lease.get(), mSettings.grantLifeNanos(), now);
            mBuckets.put(organisation, known);
            mParked.remove(organisation);
        }
        known.fill(now);
        return Optional.of(known);
    }

    private Optional<OwnerLease.Held> lease(OrganisationId organisation, long now) {
        return mLeases.held(Shards.of(organisation), now);
    }
}
