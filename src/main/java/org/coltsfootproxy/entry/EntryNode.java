package org.coltsfootproxy.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
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

/**
 * The node of an entry host.
 *
 * <p>It authenticates and routes HTTP calls, and passes inputs on to the parts that handle online
 * requests, batch jobs, rate limits and the configuration.
 */
public final class EntryNode implements Node {
    /** Interval between attempts to connect to disconnected agents, in nanoseconds. */
    private static final long WATCH_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Retries that the budget gains for each request. */
    private static final double RETRIES_PER_REQUEST = 0.2;

    /** Maximum number of retries that the budget holds. */
    private static final double MAX_BUDGETED_RETRIES = 20;

    private static final int MAX_ATTEMPTS = 3;

    /** Minimum time until the deadline for a retry, in nanoseconds. */
    private static final long MIN_REMAINING_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final StopWindow mStop;
    private final ConfigSubscriber mConfig;
    private final HostView mHosts = HostView.create();
    private final AgentPool mAgents;
    private final OnlineRequests mRequests;
    private final Limiter mLimiter;
    private final LimitOwnership mOwnership;
    private final JobGateway mJobs;
    private long mNextWatchNanos;

    private EntryNode(
            EntrySettings settings,
            ConfigSubscriber config,
            EntryPolicies policies,
            JobGateway jobs,
            RandomGenerator random) {
        mStop = StopWindow.of(settings);
        mConfig = checkNotNull(config, "config");
        mJobs = checkNotNull(jobs, "jobs");
        mAgents = AgentPool.create(policies.choosers(), mHosts::isLeaving);
        RetryPolicy retries =
                RetryPolicy.of(
                        MAX_ATTEMPTS,
                        MIN_REMAINING_NANOS,
                        RetryBudget.of(RETRIES_PER_REQUEST, MAX_BUDGETED_RETRIES));
        mRequests = OnlineRequests.create(settings, random.nextLong(), mAgents, retries);
        mLimiter = policies.limiters().create(mRequests::onDecision);
        mRequests.useLimiter(mLimiter);
        mOwnership = policies.ownership();
    }

    /**
     * Returns the node of an entry host.
     *
     * @param config subscriber that has not been started
     * @param jobs gateway without calls in flight
     * @param random source of the random part of request ids, which must differ between
     *     incarnations
     */
    public static EntryNode create(
            EntrySettings settings,
            ConfigSubscriber config,
            EntryPolicies policies,
            JobGateway jobs,
            RandomGenerator random) {
        return new EntryNode(settings, config, policies, jobs, random);
    }

    /** Returns the configuration in force on this host. */
    public ConfigView view() {
        return mConfig.view();
    }

    @Override
    public void start(long nowNanos, Effects out) {
        mConfig.start(nowNanos, out);
        mOwnership.start(nowNanos, out);
        mNextWatchNanos = nowNanos + WATCH_INTERVAL_NANOS;
    }

    @Override
    public void handle(Input input, long nowNanos, Effects out) {
        if (input instanceof Input.HttpCall call) {
            httpCall(call, nowNanos, out);
        } else if (input instanceof Input.HttpDisconnected disconnected) {
            mRequests.callerDisconnected(disconnected.call(), nowNanos, out);
            mJobs.callerDisconnected(disconnected.call(), out);
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
            mStop.begin(nowNanos);
        }
    }

    private void httpCall(Input.HttpCall call, long now, Effects out) {
        try {
            mStop.check(now, now);
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
        mStop.check(now + TimeUnit.MILLISECONDS.toNanos(route.timeoutMillis()), now);
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
        if (nowNanos - mNextWatchNanos >= 0) {
            mNextWatchNanos = nowNanos + WATCH_INTERVAL_NANOS;
            mAgents.watchDisconnected(out);
        }
        if (mStop.tick(nowNanos)) {
            mLimiter.stop(nowNanos, out);
            mOwnership.stop(nowNanos, out);
        }
    }

    @Override
    public long nextTickNanos() {
        return LongStream.of(
                        mConfig.nextTickNanos(),
                        mLimiter.nextTickNanos(),
                        mOwnership.nextTickNanos(),
                        mRequests.nextTickNanos(),
                        mJobs.nextTickNanos(),
                        mNextWatchNanos,
                        mStop.nextTickNanos())
                .min()
                .getAsLong();
    }

    @Override
    public boolean isDrained() {
        return mStop.isClosed() && mRequests.isEmpty() && mJobs.isDrained();
    }
}
