package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.config.ConfigSubscriber;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.config.RequestKind;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.entry.CallerCheck;
import org.coltsfootproxy.entry.EntrySettings;
import org.coltsfootproxy.job.JobCourier;
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

/**
 * The decisions of an entry host that finds the fleet by seeds and calls targets itself.
 *
 * <p>It decides on keys and routes only by a configuration that a control host has confirmed
 * lately; without one it refuses, truthfully, as not run.
 */
public final class DirectEntryNode implements Node {
    /**
     * How long a started entry waits for what the others have admitted. Connections take 0.2 to 0.4
     * s under load; an entry that can't be reached must not keep others from starting.
     */
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final EntrySettings mSettings;
    private final Protocols mProtocols;
    private final PeerAddresses mAddresses;
    private final ConfigSubscriber mConfig;
    private final FleetMembership mMembership;
    private final Targets mTargets;
    private final TargetCalls mTargetCalls = TargetCalls.create();
    private final LoadBoard mLoads;
    private final Overload mOverload;
    private final EarlyCalls mEarly = new EarlyCalls();
    private final SharedCountLimiter mLimiter;
    private final CallerAnswers mAnswers;
    private final DirectCalls mCalls;
    private final DirectJobs mJobs;
    private final RandomGenerator mRandom;
    private long mSettleBy = NEVER;
    private boolean mIsSettled;
    private boolean mStopping;
    private long mRefuseFrom;
    private boolean mRefusing;
    private volatile boolean mIsReady;

    /** How callers and targets are spoken to. */
    public record Protocols(CallerProtocol callers, TargetProtocol targets) {
        /** Checks the parts. */
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
        mProtocols = checkNotNull(protocols, "protocols");
        mAddresses = checkNotNull(addresses, "addresses");
        mConfig = checkNotNull(config, "config");
        mMembership = checkNotNull(membership, "membership");
        mRandom = checkNotNull(random, "random");
        mTargets = Targets.create(settings.dataCentre(), random);
        mLoads = LoadBoard.create(settings.host(), mTargets);
        mOverload = Overload.create(mTargets);
        mLimiter = SharedCountLimiter.create(settings.host());
        mAnswers = new CallerAnswers(protocols.callers().retryAfter());
        mCalls =
                new DirectCalls(
                        mAnswers,
                        protocols.targets(),
                        mTargetCalls,
                        mTargets,
                        mLoads,
                        mOverload,
                        mLimiter);
        JobCourier courier = DirectJobs.courier(membership.jobHosts(), random);
        mJobs = new DirectJobs(protocols.callers(), courier);
    }

    /**
     * Returns the node of an entry host.
     *
     * @param config subscriber that was not started yet
     * @param membership membership that was not started yet
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

    /** Tells whether the host takes callers; safe for use by any thread. */
    public boolean isReady() {
        return mIsReady;
    }

    /** Returns the configuration in force here. */
    public ConfigView view() {
        return mConfig.view();
    }

    @Override
    public void start(long nowNanos, Effects out) {
        mEarly.begin(nowNanos);
        mConfig.start(nowNanos, out);
        mMembership.start(nowNanos);
        mMembership.tick(mTargets.listing().number(), null, nowNanos, out);
    }

    @Override
    public void handle(Input input, long nowNanos, Effects out) {
        if (mTargetCalls.handle(input, nowNanos, out)) {
            return;
        }
        if (input instanceof Input.HttpCall call) {
            httpCall(call, nowNanos, out);
        } else if (input instanceof Input.HttpGone gone) {
            mEarly.gone(gone.call());
            mCalls.gone(gone.call(), nowNanos, out);
            mJobs.gone(gone.call(), out);
        } else if (input instanceof Input.FromPeer peer) {
            fromPeer(peer.from(), peer.message(), nowNanos, out);
        } else if (input instanceof Input.PeerUp up) {
            mLimiter.entryUp(up.host(), up.incarnation());
        } else if (input instanceof Input.PeerLost lost) {
            mConfig.peerLost(lost.host(), nowNanos, out);
            if (mMembership.peerLost(lost.host())) {
                hostsChanged(nowNanos, out);
            }
            mLimiter.entryLost(lost.host(), nowNanos);
            mJobs.peerLost(lost.host(), nowNanos);
        } else if (input instanceof Input.SeedsChanged seeds) {
            mMembership.seeds(seeds.seeds());
            hostsChanged(nowNanos, out);
            out.log(EventCode.SEEDS_CHANGED, seeds.seeds().toString());
        } else if (input instanceof Input.ClockJumped jumped) {
            out.log(EventCode.CLOCK_JUMPED, "by " + jumped.nanos() + " ns");
            mConfig.distrust(nowNanos, out);
        } else if (input instanceof Input.PlannedStop) {
            mStopping = true;
            mRefuseFrom = nowNanos + mSettings.lameDuckNanos();
        }
        updateReadiness(nowNanos, out);
    }

    private void httpCall(Input.HttpCall call, long now, Effects out) {
        if (mIsReady || mStopping || !mEarly.hold(call, now)) {
            decide(call, now, now, out);
        }
    }

    private void decide(Input.HttpCall call, long arrivedAt, long now, Effects out) {
        String name = "";
        try {
            CallerCall asked = mProtocols.callers().read(call);
            if (asked instanceof CallerCall.Forward forward) {
                name = forward.requestName();
                forward(call, forward, arrivedAt, now, out);
            } else {
                checkTakesCalls();
                mJobs.call(call, asked, organisation(call, now).id(), now, out);
            }
        } catch (ProxyException e) {
            mAnswers.refuse(call.call(), name, Problem.from(e), out);
        }
    }

    private void checkTakesCalls() throws ProxyException {
        if (mRefusing) {
            throw ProxyException.of(ErrorKind.STOPPING, "the host is stopping");
        }
    }

    private Organisation organisation(Input.HttpCall call, long now) throws ProxyException {
        return CallerCheck.organisation(mConfig.view(), mConfig.isFresh(now), call.headers());
    }

    private void forward(
            Input.HttpCall call, CallerCall.Forward forward, long arrivedAt, long now, Effects out)
            throws ProxyException {
        checkTakesCalls();
        Route route = route(forward, now);
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
            mJobs.submit(call, route, owner.id(), now, out);
            return;
        }
        ServiceId service = route.serviceAt(mRandom.nextDouble());
        DirectRequest request =
                DirectRequest.of(call, forward, route, service, organisation, arrivedAt);
        mCalls.begin(request, now, out);
    }

    private Route route(CallerCall.Forward forward, long now) throws ProxyException {
        Optional<Route> route = mConfig.view().route(forward.hostName(), forward.path());
        if (route.isEmpty() && !mConfig.isFresh(now)) {
            throw ProxyException.of(
                    ErrorKind.CONFIG_STALE,
                    "routes can't be told until a control host confirms the configuration");
        }
        return route.orElseThrow(
                () -> ProxyException.of(ErrorKind.NO_ROUTE, "no route for " + forward.path()));
    }

    private void fromPeer(HostId from, Message message, long now, Effects out) {
        if (message instanceof ConfigMessage config) {
            if (mConfig.handle(from, config, now, out)) {
                mLimiter.configure(mConfig.view(), now);
            }
        } else if (message instanceof JobMessage job) {
            mJobs.handle(from, job, now, out);
        } else if (message instanceof FleetMessage.Roster roster) {
            if (mMembership.handle(from, roster)) {
                hostsChanged(now, out);
            }
        } else if (message instanceof FleetMessage.Listing listing) {
            mTargets.update(listing, out);
        } else if (message instanceof FleetMessage.Usage usage) {
            mLimiter.handle(from, usage, now);
        } else if (message instanceof FleetMessage.InFlight inFlight) {
            mLoads.handle(from, inFlight, now);
        } else if (message instanceof FleetMessage.Refused refused) {
            mOverload.handle(refused, now);
        }
    }

    private void hostsChanged(long now, Effects out) {
        mConfig.hosts(mAddresses.controlHosts(mMembership.controls()), now, out);
        mJobs.controls(mMembership.jobHosts(), now);
        mMembership.callers().stream()
                .filter(host -> !host.equals(mSettings.host()))
                .forEach(host -> out.add(new Effect.PeerAddress(host, mAddresses.of(host))));
        mLoads.hosts(mMembership.callers());
        mOverload.entries(mMembership.entries(), mSettings.host());
        mLimiter.entries(mMembership.entries(), now);
    }

    @Override
    public void tick(long nowNanos, Effects out) {
        mConfig.tick(nowNanos, out);
        mEarly.takeLate(nowNanos).forEach(h -> decide(h.call(), h.arrivedAt(), nowNanos, out));
        mMembership.tick(mTargets.listing().number(), null, nowNanos, out);
        mLimiter.tick(nowNanos, out);
        mLoads.tick(nowNanos, out);
        mOverload.tick(nowNanos, out);
        mCalls.tick(nowNanos, out);
        mJobs.tick(nowNanos, out);
        if (mStopping && !mRefusing && nowNanos - mRefuseFrom >= 0) {
            mRefusing = true;
        }
        updateReadiness(nowNanos, out);
    }

    private void updateReadiness(long now, Effects out) {
        boolean isFresh = mConfig.isFresh(now);
        long listing = mTargets.listing().number();
        boolean isInformed = isFresh && mConfig.view().version() > 0 && listing > 0;
        boolean isReady = !mStopping && isInformed && isSettled(now);
        if (isReady != mIsReady) {
            mIsReady = isReady;
            out.log(
                    EventCode.READINESS_CHANGED,
                    LogField.of("ready", isReady),
                    LogField.of("stopping", mStopping),
                    LogField.of("configFresh", isFresh),
                    LogField.of("configVersion", mConfig.view().version()),
                    LogField.of("listing", listing));
            if (isReady) {
                mEarly.takeAll().forEach(h -> decide(h.call(), h.arrivedAt(), now, out));
            } else {
                mEarly.begin(now);
            }
        }
    }

    /** Tells whether the use of rates is known, or was waited for long enough. */
    private boolean isSettled(long now) {
        if (mIsSettled) {
            return true;
        }
        if (mSettleBy == NEVER) {
            mSettleBy = now + SETTLE_NANOS;
        }
        boolean hasRoster = !mMembership.entries().isEmpty();
        mIsSettled = now - mSettleBy >= 0 || hasRoster && mLimiter.knowsAll(now);
        return mIsSettled;
    }

    @Override
    public long nextTickNanos() {
        long next =
                LongStream.of(
                                mConfig.nextTickNanos(),
                                mMembership.nextTickNanos(),
                                mLimiter.nextTickNanos(),
                                mLoads.nextTickNanos(),
                                mOverload.nextTickNanos(),
                                mEarly.nextTickNanos(),
                                mCalls.nextTickNanos(),
                                mJobs.nextTickNanos())
                        .min()
                        .getAsLong();
        long settled = mIsSettled ? next : Math.min(next, mSettleBy);
        return mStopping && !mRefusing ? Math.min(settled, mRefuseFrom) : settled;
    }

    @Override
    public boolean isDrained() {
        return mStopping && mEarly.isEmpty() && mCalls.isEmpty() && mJobs.isEmpty() && mRefusing;
    }
}
