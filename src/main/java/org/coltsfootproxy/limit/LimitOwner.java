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
import org.coltsfootproxy.message.LimitMessage.Grant;
import org.coltsfootproxy.message.LimitMessage.GrantEpoch;
import org.coltsfootproxy.message.LimitMessage.Recall;
import org.coltsfootproxy.message.LimitMessage.Return;
import org.coltsfootproxy.message.LimitMessage.TokenRequest;
import org.coltsfootproxy.node.Effects;

/**
 * The owner side of {@link GrantLimiter}: grants tokens from the buckets of the shards whose lease
 * this entry holds.
 *
 * <p>Grants end with the lease at the latest. If a token request finds too few tokens while other
 * entries hold some, the owner recalls these and parks the request until they are returned or the
 * recall times out.
 */
final class LimitOwner {
    private static final long SWEEP_INTERVAL_NANOS = 10_000_000_000L;

    private final LimitSettings mSettings;
    private final OwnerLease mLeases;
    private final Map<OrganisationId, Bucket> mBuckets = new HashMap<>();
    private final Map<OrganisationId, Map<Bucket.Holder, TokenRequest>> mParked = new HashMap<>();
    private final DueQueue<OrganisationId> mDue = new DueQueue<>();
    private ConfigView mView = ConfigView.empty();
    private long mNextSweep = Long.MIN_VALUE;

    LimitOwner(LimitSettings settings, OwnerLease leases) {
        mSettings = checkNotNull(settings, "settings");
        mLeases = checkNotNull(leases, "leases");
    }

    void handleRequest(HostId from, TokenRequest request, long now, Effects out) {
        Optional<Bucket> bucket =
                bucket(request.organisation(), request.grantEpoch().fencing(), now);
        bucket.ifPresent(
                b -> handleRequest(b, holder(from, request.grantEpoch()), request, now, out));
    }

    private static Bucket.Holder holder(HostId from, GrantEpoch grantEpoch) {
        return new Bucket.Holder(from, grantEpoch.incarnation());
    }

    private void handleRequest(
            Bucket bucket, Bucket.Holder holder, TokenRequest request, long now, Effects out) {
        GrantTotals totals = bucket.totalsFor(holder, request.grantEpoch().epoch());
        if (totals == null || !totals.recordAsk(request.askedNanos())) {
            return;
        }
        bucket.applyReport(totals, request.used(), request.returned(), request.idleNanos(), now);
        if (bucket.wholeTokens() < request.need() && bucket.hasOtherHolders(holder)) {
            park(bucket, holder, request, now, out);
        } else {
            answer(bucket, holder, request, now, out);
        }
    }

    private void park(
            Bucket bucket, Bucket.Holder holder, TokenRequest request, long now, Effects out) {
        OrganisationId organisation = request.organisation();
        mParked.computeIfAbsent(organisation, id -> new LinkedHashMap<>()).put(holder, request);
        if (bucket.tryStartRecall(now, mSettings.minIntervalNanos())) {
            bucket.totalsByHolder().stream()
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
        mDue.scheduleAtLatest(organisation, now + mSettings.recallTimeoutNanos());
    }

    private static Recall recall(
            OrganisationId organisation, Bucket bucket, Bucket.Holder holder, GrantTotals totals) {
        return new Recall(
                organisation,
                new GrantEpoch(bucket.fencing(), holder.incarnation(), totals.epoch()));
    }

    private void answer(
            Bucket bucket, Bucket.Holder holder, TokenRequest request, long now, Effects out) {
        GrantTotals totals = bucket.totalsFor(holder, request.grantEpoch().epoch());
        Optional<OwnerLease.Held> lease = lease(request.organisation(), now);
        if (totals == null || lease.isEmpty()) {
            return;
        }
        long lifetimeNanos =
                Math.min(mSettings.grantLifetimeNanos(), lease.get().untilNanos() - now);
        long grantedTokens =
                bucket.grant(totals, request.need(), request.prefetch(), now + lifetimeNanos);
        long retryNanos = grantedTokens < request.need() ? bucket.nanosUntilToken() : 0;
        Grant grant =
                new Grant(
                        request.organisation(),
                        request.grantEpoch(),
                        request.askedNanos(),
                        totals.granted(),
                        lifetimeNanos,
                        retryNanos,
                        bucket.isRecovering(now));
        out.send(holder.host(), grant);
    }

    void handleReturn(HostId from, Return message, long now, Effects out) {
        GrantEpoch grantEpoch = message.grantEpoch();
        Optional<Bucket> bucket = bucket(message.organisation(), grantEpoch.fencing(), now);
        bucket.ifPresent(
                b -> {
                    GrantTotals totals = b.totalsFor(holder(from, grantEpoch), grantEpoch.epoch());
                    if (totals != null) {
                        b.applyReport(
                                totals,
                                message.used(),
                                message.returned(),
                                message.idleNanos(),
                                now);
                        serveParked(message.organisation(), b, false, now, out);
                    }
                });
    }

    /** Answers parked token requests in order: those whose need is covered, or all of them. */
    private void serveParked(
            OrganisationId organisation, Bucket bucket, boolean all, long now, Effects out) {
        Map<Bucket.Holder, TokenRequest> parked = mParked.getOrDefault(organisation, Map.of());
        var parkedRequests = parked.entrySet().iterator();
        while (parkedRequests.hasNext()) {
            var next = parkedRequests.next();
            if (!all && bucket.wholeTokens() < next.getValue().need()) {
                return;
            }
            parkedRequests.remove();
            answer(bucket, next.getKey(), next.getValue(), now, out);
        }
        mParked.remove(organisation);
    }

    void tick(long now, Effects out) {
        Optional<OrganisationId> due = mDue.poll(now);
        while (due.isPresent()) {
            OrganisationId organisation = due.get();
            Optional<Bucket> bucket = ownedBucket(organisation, now);
            bucket.ifPresentOrElse(
                    b -> serveParked(organisation, b, true, now, out),
                    () -> mParked.remove(organisation));
            due = mDue.poll(now);
        }
        sweep(now);
    }

    private void sweep(long now) {
        if (now >= mNextSweep) {
            mNextSweep = now + SWEEP_INTERVAL_NANOS;
            mBuckets.entrySet()
                    .removeIf(
                            e ->
                                    lease(e.getKey(), now).isEmpty()
                                            || e.getValue().isDiscardable(now));
        }
    }

    long nextTickNanos() {
        return mDue.nextNanos();
    }

    /** Applies a configuration; buckets whose rates change are first filled at the old rates. */
    void configure(ConfigView view, long now) {
        ConfigView before = mView;
        List<Organisation> changed =
                before.organisations()
                        .filter(old -> !view.organisation(old.id()).equals(Optional.of(old)))
                        .collect(Collectors.toList());
        List<Bucket> buckets =
                changed.stream()
                        .flatMap(old -> ownedBucket(old.id(), now).stream())
                        .collect(Collectors.toList());
        mView = view;
        buckets.forEach(
                bucket -> view.organisation(bucket.organisation()).ifPresent(bucket::changeRates));
    }

    private Optional<Bucket> ownedBucket(OrganisationId organisation, long now) {
        return lease(organisation, now).flatMap(held -> bucket(organisation, held.fencing(), now));
    }

    /**
     * Returns the bucket, filled up to now, if this host owns it under the given fencing number.
     */
    private Optional<Bucket> bucket(OrganisationId organisation, long fencing, long now) {
        Optional<OwnerLease.Held> lease =
                lease(organisation, now).filter(held -> held.fencing() == fencing);
        Optional<Organisation> rates = mView.organisation(organisation);
        if (lease.isEmpty() || rates.isEmpty()) {
            return Optional.empty();
        }
        Bucket known = mBuckets.get(organisation);
        if (known == null || known.fencing() != fencing) {
            known = Bucket.create(rates.get(), lease.get(), mSettings.grantLifetimeNanos(), now);
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
