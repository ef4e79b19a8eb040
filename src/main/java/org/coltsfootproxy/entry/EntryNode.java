package org.coltsfootproxy.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ConfigSubscriber;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.job.JobGateway;
import org.coltsfootproxy.limit.Limiter;
import org.coltsfootproxy.membership.HostListing;
import org.coltsfootproxy.membership.HostView;
import org.coltsfootproxy.message.CallMessage;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.LimitMessage;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.message.OwnerMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;
import org.coltsfootproxy.node.Problem;
import org.coltsfootproxy.routing.RetryBudget;
import org.coltsfootproxy.routing.RetryPolicy;

/** The decisions of an entry host. */
public final class EntryNode implements Node {
    /** Time between two attempts to reach agents that are silent, in nanoseconds. */
    private static final long WATCH_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final double RETRY_RATIO = 0.2;
    private static final double MOST_RETRIES_SAVED = 20;
    private static final int MAX_TRIES = 3;
    private static final long MIN_LEFT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final EntrySettings mSettings;
    private final ConfigSubscriber mConfig;
    private final HostView mHosts = HostView.create();
    private final AgentPool mAgents;
    private final OnlineRequests mRequests;
    private final Limiter mLimiter;
    private final LimitOwnership mOwnership;
    private final JobGateway mJobs;
    private long mNextWatch;
    private boolean mStopping;
    private long mRefuseFrom;
    private boolean mRefusing;

    private EntryNode(
            EntrySettings settings,
            ConfigSubscriber config,
            EntryPolicies policies,
            JobGateway jobs,
            RandomGenerator random) {
        mSettings = checkNotNull(settings, "settings");
        mConfig = checkNotNull(config, "config");
        mJobs = checkNotNull(jobs, "jobs");
        mAgents = AgentPool.create(policies.choosers(), mHosts::isLeaving);
        RetryPolicy retries =
                RetryPolicy.of(
                        MAX_TRIES, MIN_LEFT_NANOS, RetryBudget.of(RETRY_RATIO, MOST_RETRIES_SAVED));
        mRequests = OnlineRequests.create(settings, random.nextLong(), mAgents, retries);
        mLimiter = policies.limiters().create(mRequests::decided);
        mRequests.limitedBy(mLimiter);
        mOwnership = policies.ownership();
    }

    /**
     * Returns the node of an entry host.
     *
     * @param config subscriber that was not started yet
     * @param jobs gateway without open calls
     * @param random source of the request ids' random part, which no two lives may share
     */
    public static EntryNode create(
            EntrySettings settings,
            ConfigSubscriber config,
            EntryPolicies policies,
            JobGateway jobs,
            RandomGenerator random) {
        return new EntryNode(settings, config, policies, jobs, random);
    }

    /** Returns the configuration in force here. */
    public ConfigView view() {
        return mConfig.view();
    }

    @Override
    public void start(long nowNanos, Effects out) {
        mConfig.start(nowNanos, out);
        mOwnership.start(nowNanos, out);
        mNextWatch = nowNanos + WATCH_NANOS;
    }

    @Override
    public void handle(Input input, long nowNanos, Effects out) {
        if (input instanceof Input.HttpCall call) {
            httpCall(call, nowNanos, out);
        } else if (input instanceof Input.HttpGone gone) {
            mRequests.gone(gone.call(), nowNanos, out);
            mJobs.gone(gone.call(), out);
        } else if (input instanceof Input.FromPeer peer) {
            fromPeer(peer.from(), peer.message(), nowNanos, out);
        } else if (input instanceof Input.PeerUp up) {
            peerUp(up, nowNanos, out);
        } else if (input instanceof Input.PeerLost lost) {
            peerLost(lost.host(), nowNanos, out);
        } else if (input instanceof Input.HostsListed listed) {
            mHosts.update(new HostListing(listed.version(), listed.hosts()), out);
            mAgents.configure(mConfig.view(), out);
        } else if (input instanceof Input.HostsUnreadable unreadable) {
            mHosts.unreadable(unreadable.detail(), out);
        } else if (input instanceof Input.PlannedStop) {
            mStopping = true;
            mRefuseFrom = nowNanos + mSettings.lameDuckNanos();
        }
    }

    private void httpCall(Input.HttpCall call, long now, Effects out) {
        try {
            if (mRefusing) {
                throw ProxyException.of(ErrorKind.STOPPING, "the host is stopping");
            }
            accept(call, now, out);
        } catch (ProxyException e) {
            CallerAnswers.refuse(call.call(), Problem.from(e), out);
        }
    }

    private void accept(Input.HttpCall call, long now, Effects out) throws ProxyException {
        ConfigView view = mConfig.view();
        String path = call.path().split("\\?", 2)[0];
        if (JobGateway.serves(path)) {
            Organisation owner =
                    CallerCheck.organisation(view, mConfig.isFresh(now), call.headers());
            mJobs.call(call, owner.id(), view, now, out);
            return;
        }
        Route route = CallerCheck.route(view, call.path());
        if (route.open()) {
            mRequests.begin(call, route, OpenCallers.ORGANISATION, now, out);
            return;
        }
        Organisation organisation =
                CallerCheck.organisation(view, mConfig.isFresh(now), call.headers());
        CallerCheck.checkAllowed(route, organisation);
        mRequests.begin(call, route, organisation, now, out);
    }

    private void fromPeer(HostId from, Message message, long now, Effects out) {
        if (message instanceof ConfigMessage config) {
            if (mConfig.handle(from, config, now, out)) {
                configure(now, out);
            }
            mOwnership.handle(from, config, now, out);
        } else if (message instanceof OwnerMessage owner) {
            mOwnership.handle(from, owner);
        } else if (message instanceof CallMessage.AgentState state) {
            mAgents.report(from, state, now);
        } else if (message instanceof CallMessage call) {
            mRequests.handle(from, call, now, out);
        } else if (message instanceof JobMessage job) {
            mJobs.handle(from, job, now, out);
        } else if (message instanceof LimitMessage limit) {
            mLimiter.handle(from, limit, now, out);
        }
    }

    private void configure(long now, Effects out) {
        ConfigView view = mConfig.view();
        mRequests.configure(view);
        mAgents.configure(view, out);
        mLimiter.configure(view, now);
    }

    private void peerUp(Input.PeerUp up, long now, Effects out) {
        mOwnership.peerUp(up.host(), now, out);
        if (mAgents.isWatched(up.host())) {
            mAgents.up(up.host(), up.incarnation());
            mAgents.watch(up.host(), out);
        }
        mRequests.agentUp(up.host(), now, out);
    }

    private void peerLost(HostId host, long now, Effects out) {
        mConfig.peerLost(host, now, out);
        mOwnership.peerLost(host, now, out);
        mAgents.down(host);
        mRequests.agentLost(host, now, out);
    }

    @Override
    public void tick(long nowNanos, Effects out) {
        mConfig.tick(nowNanos, out);
        mOwnership.tick(nowNanos, out);
        mLimiter.tick(nowNanos, out);
        mRequests.tick(nowNanos, out);
        mJobs.tick(nowNanos, out);
        if (nowNanos - mNextWatch >= 0) {
            mNextWatch = nowNanos + WATCH_NANOS;
            mAgents.watchSilent(out);
        }
        if (mStopping && !mRefusing && nowNanos - mRefuseFrom >= 0) {
            mRefusing = true;
            mLimiter.stop(nowNanos, out);
            mOwnership.stop(nowNanos, out);
        }
    }

    @Override
    public long nextTickNanos() {
        long next =
                LongStream.of(
                                mConfig.nextTickNanos(),
                                mLimiter.nextTickNanos(),
                                mOwnership.nextTickNanos(),
                                mRequests.nextTickNanos(),
                                mJobs.nextTickNanos(),
                                mNextWatch)
                        .min()
                        .getAsLong();
        return mStopping && !mRefusing ? Math.min(next, mRefuseFrom) : next;
    }

    @Override
    public boolean isDrained() {
        return mRefusing && mRequests.isEmpty() && mJobs.isDrained();
    }
}
