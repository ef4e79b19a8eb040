package org.coltsfootproxy.agent;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.stream.LongStream;
import org.coltsfootproxy.admission.AdmissionQueue;
import org.coltsfootproxy.admission.AdmissionSettings;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.ConfigSubscriber;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.config.Service;
import org.coltsfootproxy.message.CallMessage;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;

/** The state machine of the agent beside one target. */
public final class AgentNode implements Node {
    private static final double DEFAULT_WEIGHT = 1;

    private final AgentSettings mSettings;
    private final ConfigSubscriber mConfig;
    private final Dispatcher mDispatcher;
    private final OnlineCalls mOnline;
    private final BatchItems mBatch;
    private final Watchers mWatchers;
    private boolean mStopping;

    private AgentNode(
            AgentSettings settings,
            ConfigSubscriber config,
            AdmissionQueue queue,
            List<HostId> controls) {
        mSettings = checkNotNull(settings, "settings");
        mConfig = checkNotNull(config, "config");
        mDispatcher = Dispatcher.create(queue);
        mOnline = OnlineCalls.create(mDispatcher, settings.incarnation());
        mBatch = BatchItems.create(mDispatcher, this::weight, settings, controls);
        mWatchers = Watchers.create(settings.incarnation(), settings.service());
    }

    /**
     * Returns the node of an agent.
     *
     * @param config subscriber that is not started yet
     * @param queue the target's admission queue, empty
     * @param controls control hosts that batch items are pulled from
     */
    public static AgentNode create(
            AgentSettings settings,
            ConfigSubscriber config,
            AdmissionQueue queue,
            List<HostId> controls) {
        return new AgentNode(settings, config, queue, controls);
    }

    private double weight(OrganisationId organisation) {
        return mConfig.view()
                .organisation(organisation)
                .map(Organisation::weight)
                .orElse(DEFAULT_WEIGHT);
    }

    @Override
    public void start(long nowNanos, Effects out) {
        mConfig.start(nowNanos, out);
    }

    @Override
    public void handle(Input input, long nowNanos, Effects out) {
        if (input instanceof Input.FromPeer peer) {
            fromPeer(peer.from(), peer.message(), nowNanos, out);
        } else if (input instanceof Input.TargetHead head) {
            mDispatcher.head(head, nowNanos, out);
        } else if (input instanceof Input.TargetChunk chunk) {
            mDispatcher.chunk(chunk, nowNanos, out);
        } else if (input instanceof Input.TargetEnd end) {
            mDispatcher.end(end, nowNanos, out);
        } else if (input instanceof Input.TargetFailed failed) {
            mDispatcher.failed(failed, nowNanos, out);
        } else if (input instanceof Input.PeerUp up) {
            mOnline.entryUp(up.host());
        } else if (input instanceof Input.PeerLost lost) {
            peerLost(lost.host(), nowNanos, out);
        } else if (input instanceof Input.PlannedStop) {
            stop(nowNanos, out);
        }
        updateAfterStep(nowNanos, out);
    }

    private void fromPeer(HostId from, Message message, long now, Effects out) {
        if (message instanceof CallMessage.Forward forward) {
            mOnline.forward(from, forward, now, out);
        } else if (message instanceof CallMessage.StateQuery query) {
            mOnline.answerQuery(from, query, now, out);
        } else if (message instanceof CallMessage.Cancel cancel) {
            mOnline.cancel(cancel, now, out);
        } else if (message instanceof CallMessage.Watch) {
            mWatchers.watch(from, out);
        } else if (message instanceof JobMessage job) {
            mBatch.handle(from, job, now, out);
        } else if (message instanceof ConfigMessage config) {
            if (mConfig.handle(from, config, now, out)) {
                configure(now, out);
            }
        }
    }

    private void configure(long now, Effects out) {
        mConfig.view()
                .service(mSettings.service())
                .map(Service::concurrency)
                .map(AdmissionSettings::of)
                .ifPresent(limits -> configure(limits, now));
        mDispatcher.pump(now, out);
    }

    private void configure(AdmissionSettings limits, long now) {
        mDispatcher.queue().configure(limits, now);
        mBatch.setCapacity(limits.maxInFlight());
    }

    private void peerLost(HostId host, long now, Effects out) {
        mConfig.peerLost(host, now, out);
        mOnline.entryLost(host, now);
        mWatchers.entryLost(host);
    }

    private void stop(long now, Effects out) {
        mStopping = true;
        publishState(now, out);
        mBatch.stop(now, out);
        mOnline.drain(now, out);
    }

    /** Offers idle slots to batch items and publishes the state after an input or a tick. */
    private void updateAfterStep(long now, Effects out) {
        if (!mStopping) {
            mBatch.offerSlots(now, out);
        }
        publishState(now, out);
    }

    private void publishState(long now, Effects out) {
        AdmissionQueue queue = mDispatcher.queue();
        mWatchers.update(mStopping, queue.inFlight(), queue.waiting(), queue.limit(), now, out);
    }

    @Override
    public void tick(long nowNanos, Effects out) {
        mConfig.tick(nowNanos, out);
        mDispatcher.tick(nowNanos, out);
        mOnline.tick(nowNanos, out);
        mBatch.tick(nowNanos, out);
        updateAfterStep(nowNanos, out);
    }

    @Override
    public long nextTickNanos() {
        return LongStream.of(
                        mDispatcher.nextTickNanos(),
                        mOnline.nextTickNanos(),
                        mBatch.nextTickNanos(),
                        mConfig.nextTickNanos(),
                        mWatchers.nextTickNanos())
                .min()
                .getAsLong();
    }

    @Override
    public boolean isDrained() {
        return mStopping && mDispatcher.isIdle() && mBatch.isDrained();
    }
}
