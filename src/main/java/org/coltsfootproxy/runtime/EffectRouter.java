package org.coltsfootproxy.runtime;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import org.coltsfootproxy.net.FleetTargetClient;
import org.coltsfootproxy.net.HttpFront;
import org.coltsfootproxy.net.PeerTransport;
import org.coltsfootproxy.net.TargetClient;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;

/**
 * Passes each effect of a node to the component that carries it out.
 *
 * <p>Components that the node's role lacks are null; an effect for one of them is a bug in the
 * node.
 */
final class EffectRouter implements Effects {
    private final PeerTransport mPeers;
    private final EventLog mLog;
    private final Metrics mMetrics;
    private final HttpFront mFront;
    private final TargetClient mTarget;
    private final DiskWriter mDisk;
    private final FleetTargetClient mFleetTargets;

    private EffectRouter(
            PeerTransport peers,
            EventLog log,
            Metrics metrics,
            HttpFront front,
            TargetClient target,
            DiskWriter disk,
            FleetTargetClient targets) {
        mPeers = checkNotNull(peers, "peers");
        mLog = checkNotNull(log, "log");
        mMetrics = checkNotNull(metrics, "metrics");
        mFront = front;
        mTarget = target;
        mDisk = disk;
        mFleetTargets = targets;
    }

    /**
     * Returns a router.
     *
     * @param front null unless the role answers HTTP calls
     * @param target null unless the role calls the one target of an agent
     * @param disk null unless the role has durable state
     * @param targets null unless the role calls the targets of the platform's list
     */
    static EffectRouter create(
            PeerTransport peers,
            EventLog log,
            Metrics metrics,
            HttpFront front,
            TargetClient target,
            DiskWriter disk,
            FleetTargetClient targets) {
        return new EffectRouter(peers, log, metrics, front, target, disk, targets);
    }

    @Override
    public void add(Effect effect) {
        if (effect instanceof Effect.Send send) {
            mPeers.execute(send);
        } else if (effect instanceof Effect.PeerAddress address) {
            mPeers.execute(address);
        } else if (effect instanceof Effect.Log log) {
            mLog.write(log.code(), log.detail());
        } else if (effect instanceof Effect.LogFields log) {
            mLog.write(log.code(), log.fields());
        } else if (effect instanceof Effect.Measure m) {
            mMetrics.record(m.metric(), m.organisation(), m.trafficClass(), m.value());
        } else if (effect instanceof Effect.Persist persist) {
            checkState(mDisk != null, "this role has no disk for %s", persist);
            mDisk.write(persist);
        } else if (effect instanceof Effect.TargetCall call) {
            target().execute(call);
        } else if (effect instanceof Effect.AddressedTargetCall call) {
            fleetTargets().execute(call);
        } else if (effect instanceof Effect.TargetCancel cancel) {
            cancel(cancel);
        } else {
            executeResponse(effect);
        }
    }

    private void cancel(Effect.TargetCancel cancel) {
        if (mFleetTargets != null) {
            mFleetTargets.execute(cancel);
        } else {
            target().execute(cancel);
        }
    }

    private FleetTargetClient fleetTargets() {
        checkState(mFleetTargets != null, "this role has no client of listed targets");
        return mFleetTargets;
    }

    private TargetClient target() {
        checkState(mTarget != null, "this role has no target client");
        return mTarget;
    }

    private void executeResponse(Effect effect) {
        checkState(mFront != null, "this role has no HTTP server for calls");
        if (effect instanceof Effect.HttpHead head) {
            mFront.execute(head);
        } else if (effect instanceof Effect.HttpChunk chunk) {
            mFront.execute(chunk);
        } else if (effect instanceof Effect.HttpEnd end) {
            mFront.execute(end);
        } else if (effect instanceof Effect.HttpAbort abort) {
            mFront.execute(abort);
        } else {
            throw new IllegalArgumentException("unknown effect " + effect);
        }
    }
}
