package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.coltsfootproxy.admission.ReceivedShares;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.Region;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.config.ConfigSubscriber;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.config.Regions;
import org.coltsfootproxy.config.RequestKind;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.entry.CallerCheck;
import org.coltsfootproxy.entry.EntrySettings;
import org.coltsfootproxy.entry.StopWindow;
import org.coltsfootproxy.job.JobRequestClient;
import org.coltsfootproxy.limit.SharedCountLimiter;
import org.coltsfootproxy.membership.FleetMembership;
import org.coltsfootproxy.membership.PeerAddresses;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.LogField;
import org.coltsfootproxy.node.Node;
import org.coltsfootproxy.node.Problem;
import org.coltsfootproxy.quarantine.CrashQuarantine;

/**
 * The state machine of an entry host that finds the fleet by seeds and calls targets directly.
 *
 * <p>It decides on keys and routes only by a configuration that a control host has confirmed
 * recently. Without one it refuses calls as not run, which is true because nothing was sent to a
 * target.
 */
public final class DirectEntryNode implements Node {
    /**
     * Longest time that a starting entry waits for what the others know. Connections take 0.2 to
     * 0.4 s under load; an unreachable entry must not keep others from starting.
     */
    private static final long SYNC_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final EntrySettings mSettings;
    private final StopWindow mStop;
    private final Protocols mProtocols;
    private final PeerAddresses mAddresses;
    private final ConfigSubscriber mConfig;
    private final FleetMembership mMembership;
    private final Targets mTargets;
    private final TargetCalls mTargetCalls = TargetCalls.create();
    private final CrashQuarantine mQuarantine = CrashQuarantine.create();
    private final HostReports mReports;
    private final LoadShedder mLoadShedder;
    private final StreamVersions mVersions = StreamVersions.create();
    private final StreamVersionSync mVersionSync;
    private final HeldResumptions mResumptions;
    private final EarlyCalls mEarlyCalls = new EarlyCalls();
    private final SharedCountLimiter mLimiter;
    private final DirectCallerAnswers mAnswers;
    private final DirectCalls mCalls;
    private final DirectJobs mJobs;
    private final RegionCheck mRegionCheck;
    private final RandomGenerator mRandom;
    private long mSyncDeadline = NEVER;
    private boolean mIsSynced;
    private volatile boolean mIsReady;

    /** The protocols towards callers and targets. */
    public record Protocols(CallerProtocol callers, TargetProtocol targets) {
        /** Validates the components. */
        public Protocols {
            checkNotNull(callers, "callers");
            checkNotNull(targets, "targets");
        }
    }

    private DirectEntryNode(
            EntrySettings settings,
            Protocols protocols,
            PeerAddresses addresses,
            ConfigSubscriber config,
            FleetMembership membership,
            RandomGenerator random) {
        mSettings = checkNotNull(settings, "settings");
        mStop = StopWindow.of(settings);
        mProtocols = checkNotNull(protocols, "protocols");
        mAddresses = checkNotNull(addresses, "addresses");
        mConfig = checkNotNull(config, "config");
        mMembership = checkNotNull(membership, "membership");
        mRandom = checkNotNull(random, "random");
        mTargets = Targets.create(settings.dataCentre(), random);
        LoadExchange loadExchange = LoadExchange.create(settings.host(), mTargets);
        ReceivedShares shares = ReceivedShares.create();
        mLoadShedder = LoadShedder.create(mTargets, settings.direct().contention(), shares);
        mLimiter = SharedCountLimiter.create(settings.host());
        mLimiter.setListener(shares);
        mReports =
                HostReports.ofEntry(
                        settings.host(),
                        random.nextLong(),
                        mTargets,
                        loadExchange,
                        mQuarantine,
                        mLimiter,
                        mLoadShedder,
                        mVersions);
        mVersionSync = new StreamVersionSync(settings.host(), mVersions);
        mAnswers = new DirectCallerAnswers(protocols.callers().retryAfter());
        mResumptions = new HeldResumptions(membership, mAnswers);
        mCalls =
                new DirectCalls(
                        mAnswers,
                        protocols.targets(),
                        mTargetCalls,
                        mTargets,
                        loadExchange,
                        mLoadShedder,
                        mQuarantine,
                        mVersions,
                        mLimiter);
        JobRequestClient client = DirectJobs.createClient(membership.jobHosts(), random);
        mJobs = new DirectJobs(protocols.callers(), client);
        mRegionCheck = new RegionCheck(settings.direct().regions(), membership);
    }

    /**
     * Returns the node of an entry host.
     *
     * @param config subscriber that is not started yet
     * @param membership membership that is not started yet
     */
    public static DirectEntryNode create(
            EntrySettings settings,
            Protocols protocols,
            PeerAddresses addresses,
            ConfigSubscriber config,
            FleetMembership membership,
            RandomGenerator random) {
        return new DirectEntryNode(settings, protocols, addresses, config, membership, random);
    }

    /** Sets what decides which target gets a request; to be called before the start. */
    public void routeBy(TargetRoutingMode mode) {
        mTargets.work().mode(mode);
    }

    /** Returns whether the host accepts callers; may be called by any thread. */
    public boolean isReady() {
        return mIsReady;
    }

    /** Returns the configuration in force on this host. */
    public ConfigView view() {
        return mConfig.view();
    }

    @Override
    public void start(long nowNanos, Effects out) {
        mEarlyCalls.notReady(nowNanos);
        mTargets.started(nowNanos);
        mConfig.start(nowNanos, out);
        mMembership.start(nowNanos);
        enrol(nowNanos, out);
    }

    private void enrol(long nowNanos, Effects out) {
        if (nowNanos - mMembership.nextTickNanos() < 0) {
            return;
        }
        mMembership.tick(
                mTargets.listing().number(),
                null,
                mQuarantine.quarantined(nowNanos),
                nowNanos,
                out);
    }

    @Override
    public void handle(Input input, long nowNanos, Effects out) {
        configureTargets(nowNanos, out);
        if (mTargetCalls.handle(input, nowNanos, out)) {
            return;
        }
        if (input instanceof Input.HttpCall call) {
            httpCall(call, nowNanos, out);
        } else if (input instanceof Input.HttpDisconnected disconnected) {
            mEarlyCalls.callerDisconnected(disconnected.call());
            mResumptions.callerDisconnected(disconnected.call());
            mCalls.callerDisconnected(disconnected.call(), nowNanos, out);
            mJobs.callerDisconnected(disconnected.call(), out);
        } else if (input instanceof Input.FromPeer peer) {
            fromPeer(peer.from(), peer.message(), nowNanos, out);
        } else if (input instanceof Input.PeerLost lost) {
            mConfig.peerLost(lost.host(), nowNanos, out);
            if (mMembership.peerLost(lost.host())) {
                hostsChanged(nowNanos, out);
            }
            mReports.peerLost(lost.host(), nowNanos, out);
            mJobs.peerLost(lost.host(), nowNanos);
        } else if (input instanceof Input.SeedsChanged seeds) {
            mMembership.seeds(seeds.seeds());
            hostsChanged(nowNanos, out);
            out.log(EventCode.SEEDS_CHANGED, seeds.seeds().toString());
        } else if (input instanceof Input.ClockJumped jumped) {
            out.log(EventCode.CLOCK_JUMPED, "by " + jumped.nanos() + " ns");
            mConfig.discardConfirmations(nowNanos, out);
            configureTargets(nowNanos, out);
        } else if (input instanceof Input.PlannedStop) {
            mStop.begin(nowNanos);
        }
        updateReadiness(nowNanos, out);
    }

    private void configureTargets(long now, Effects out) {
        mTargets.configure(mConfig.view(), isConfirmed(now), now, out);
    }

    /** Returns whether the configuration is confirmed as current, or need not be. */
    private boolean isConfirmed(long now) {
        return !mSettings.direct().needsConfirmation() || mConfig.isFresh(now);
    }

    private void httpCall(Input.HttpCall call, long now, Effects out) {
        if (mIsReady || mStop.hasBegun() || !mEarlyCalls.hold(call, now)) {
            answerCall(call, now, now, out);
        }
    }

    private void answerCall(Input.HttpCall call, long arrivedAt, long now, Effects out) {
        String name = "";
        try {
            CallerCall callerCall = mProtocols.callers().read(call);
            if (callerCall instanceof CallerCall.Forward forward) {
                name = forward.requestName();
                forward(call, forward, arrivedAt, now, out);
            } else {
                mStop.check(now + DirectJobs.ANSWER_TIMEOUT_NANOS, now);
                mJobs.call(call, callerCall, organisation(call, now).id(), now, out);
            }
        } catch (ProxyException e) {
            mAnswers.refuse(call.call(), name, Problem.from(e), out);
        }
    }

    private Organisation organisation(Input.HttpCall call, long now) throws ProxyException {
        return CallerCheck.organisation(mConfig.view(), mConfig.isFresh(now), call.headers());
    }

    private void forward(
            Input.HttpCall call, CallerCall.Forward forward, long arrivedAt, long now, Effects out)
            throws ProxyException {
        mStop.check(now, now);
        Route route = route(forward, now);
        if (!isConfirmed(now)) {
            throw ProxyException.of(
                    ErrorKind.CONFIG_STALE, "no control host has confirmed the configuration");
        }
        Optional<Organisation> organisation = Optional.empty();
        if (!route.open()) {
            organisation = Optional.of(organisation(call, now));
            CallerCheck.checkAllowed(route, organisation.get());
        }
        if (route.policy().kind() == RequestKind.BATCH) {
            Organisation owner =
                    organisation.orElseThrow(
                            () ->
                                    ProxyException.of(
                                            ErrorKind.UNAUTHENTICATED, "batch jobs need a key"));
            Optional<Set<Region>> allowed = Regions.allowed(route, organisation);
            mRegionCheck.checkStores(allowed);
            mStop.check(now + DirectJobs.ANSWER_TIMEOUT_NANOS, now);
            mJobs.submit(call, route, owner.id(), allowed, now, out);
            return;
        }
        ServiceId service = route.serviceAt(mRandom.nextDouble());
        DirectRequest request =
                DirectRequest.of(
                        call,
                        forward,
                        route,
                        service,
                        organisation,
                        mProtocols.targets().sharedPromptParts(call.headers()),
                        mProtocols.targets().declaredSizes(call.headers()),
                        call.begunNanos(arrivedAt));
        mStop.check(request.deadline(), now);
        request.allowOnly(
                mSettings.direct().regions().dataCentres(Regions.allowed(route, organisation)));
        if (mVersions.followsFromList(request, now)) {
            mResumptions.hold(request, now);
            enrol(now, out);
        } else {
            mCalls.begin(request, now, out);
        }
    }

    private Route route(CallerCall.Forward forward, long now) throws ProxyException {
        Optional<Route> route = mConfig.view().route(forward.hostName(), forward.path());
        if (route.isEmpty() && !mConfig.isFresh(now)) {
            throw ProxyException.of(
                    ErrorKind.CONFIG_STALE,
                    "routes are unknown until a control host confirms the configuration");
        }
        return route.orElseThrow(
                () -> ProxyException.of(ErrorKind.NO_ROUTE, "no route for " + forward.path()));
    }

    private void fromPeer(HostId from, Message message, long now, Effects out) {
        if (message instanceof ConfigMessage config) {
            if (mConfig.handle(from, config, now, out)) {
                mLimiter.configure(mConfig.view(), now);
            }
            configureTargets(now, out);
        } else if (message instanceof JobMessage job) {
            mJobs.handle(from, job, now, out);
        } else if (message instanceof FleetMessage.Roster roster) {
            if (mMembership.handle(from, roster)) {
                hostsChanged(now, out);
            }
        } else if (message instanceof FleetMessage.Listing listing) {
            if (mTargets.update(listing, out)) {
                mVersions.listed(listing, now);
            }
        } else if (message instanceof FleetMessage.TargetListRead current) {
            if (current.number() <= mTargets.listing().number()) {
                mResumptions
                        .takeConfirmed(current.confirmation())
                        .forEach(request -> mCalls.begin(request, now, out));
            }
        } else if (message instanceof FleetMessage.Quarantine stored) {
            mQuarantine.handle(stored, now, out);
        } else if (message instanceof FleetMessage.AskStreams) {
            mVersionSync.answer(from, now, out);
        } else if (message instanceof FleetMessage.KnownStreams known) {
            mVersionSync.answered(from, known, now);
        } else if (message instanceof FleetMessage.Reports reports) {
            mReports.handle(from, reports, now, out);
        }
    }

    private void hostsChanged(long now, Effects out) {
        mConfig.replaceHosts(mAddresses.controlHosts(mMembership.controls()), now, out);
        mJobs.controls(mMembership.jobHosts(), now);
        mMembership.targetCallers().stream()
                .filter(host -> !host.equals(mSettings.host()))
                .forEach(host -> out.add(new Effect.PeerAddress(host, mAddresses.of(host))));
        mLoadShedder.entryCount(mMembership.entries().size());
        mLimiter.entries(mMembership.entries(), now);
        mVersionSync.hosts(mMembership.entries(), mMembership.roster().stores(), now);
        mReports.hostsChanged(mMembership, now, out);
    }

    @Override
    public void tick(long nowNanos, Effects out) {
        mConfig.tick(nowNanos, out);
        configureTargets(nowNanos, out);
        mEarlyCalls
                .takeExpired(nowNanos)
                .forEach(h -> answerCall(h.call(), h.arrivedAt(), nowNanos, out));
        mResumptions.tick(nowNanos, out);
        enrol(nowNanos, out);
        mQuarantine.tick(nowNanos, out);
        mReports.tick(nowNanos, out);
        mVersionSync.tick(nowNanos, out);
        mCalls.tick(nowNanos, out);
        mJobs.tick(nowNanos, out);
        mStop.tick(nowNanos);
        updateReadiness(nowNanos, out);
    }

    private void updateReadiness(long now, Effects out) {
        boolean isFresh = mConfig.isFresh(now);
        long listing = mTargets.listing().number();
        boolean hasConfigAndTargets = isFresh && mConfig.view().version() > 0 && listing > 0;
        // The wait ends at its deadline whatever else is missing; else a tick would stay due.
        mIsSynced |= mSyncDeadline != NEVER && now - mSyncDeadline >= 0;
        boolean isReady = !mStop.hasBegun() && hasConfigAndTargets && isSynced(now);
        if (isReady != mIsReady) {
            mIsReady = isReady;
            out.log(
                    EventCode.READINESS_CHANGED,
                    LogField.of("ready", isReady),
                    LogField.of("stopping", mStop.hasBegun()),
                    LogField.of("configFresh", isFresh),
                    LogField.of("configVersion", mConfig.view().version()),
                    LogField.of("listing", listing));
            if (isReady) {
                mEarlyCalls.takeAll().forEach(h -> answerCall(h.call(), h.arrivedAt(), now, out));
            } else {
                mEarlyCalls.notReady(now);
            }
        }
    }

    /** Returns whether the others' admission counts and streams are known, or the wait is over. */
    private boolean isSynced(long now) {
        if (mIsSynced) {
            return true;
        }
        if (mSyncDeadline == NEVER) {
            mSyncDeadline = now + SYNC_NANOS;
        }
        boolean hasRoster = !mMembership.entries().isEmpty();
        mIsSynced =
                now - mSyncDeadline >= 0
                        || hasRoster && mLimiter.hasReportsFromAll(now) && mVersionSync.isDone(now);
        return mIsSynced;
    }

    @Override
    public long nextTickNanos() {
        long next = Math.min(mConfig.nextTickNanos(), mMembership.nextTickNanos());
        next = Math.min(next, mQuarantine.nextTickNanos());
        next = Math.min(next, mReports.nextTickNanos());
        next = Math.min(next, mVersionSync.nextTickNanos());
        next = Math.min(next, mEarlyCalls.nextTickNanos());
        next = Math.min(next, mResumptions.nextTickNanos());
        next = Math.min(next, mCalls.nextTickNanos());
        next = Math.min(next, mJobs.nextTickNanos());
        next = Math.min(next, mStop.nextTickNanos());
        return mIsSynced ? next : Math.min(next, mSyncDeadline);
    }

    @Override
    public boolean isDrained() {
        return mStop.isClosed()
                && mEarlyCalls.isEmpty()
                && mResumptions.isEmpty()
                && mCalls.isEmpty()
                && mJobs.isEmpty();
    }
}
