package org.coltsfootproxy.control;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.membership.FleetRoster;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * Lets a control host stand in as a voter of the job log if a store retires and too few other
 * stores are left for the wanted number of voters.
 *
 * <p>All control hosts ask to join then, and the leader of the job log admits as many as it needs.
 * A control host that becomes leader transfers leadership to a store as soon as one has caught up.
 */
final class JobLogStandIn {
    private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Number of voters with which two disks may be lost at once. */
    private static final int VOTERS_FOR_TWO_LOSSES = 5;

    private final HostId mSelf;
    private final int mVoters;
    private final RaftGroup mGroup;
    private final FleetState mState;
    private final FleetRoster mRoster;
    private long mNextCheckNanos;
    private boolean mMayRun;

    JobLogStandIn(HostId self, int voters, RaftGroup group, FleetState state, FleetRoster roster) {
        mSelf = self;
        mVoters = voters;
        mGroup = group;
        mState = state;
        mRoster = roster;
    }

    /**
     * Returns the number of stores that must remain when one retires. A fleet that tolerates two
     * losses may be short of one store, since a control host stands in for it.
     */
    static int minRemainingStores(int voters) {
        return voters >= VOTERS_FOR_TWO_LOSSES ? voters - 1 : voters;
    }

    /** Starts; the roster counts as complete from {@code rosterCompleteNanos} on. */
    void start(long rosterCompleteNanos) {
        mGroup.node().setProbeHosts(List.of());
        mNextCheckNanos = rosterCompleteNanos;
    }

    void tick(List<HostId> controls, long nowNanos, Effects out) {
        mMayRun = !mState.retiring().isEmpty();
        if (!mMayRun || nowNanos - mNextCheckNanos < 0) {
            return;
        }
        mNextCheckNanos = nowNanos + CHECK_INTERVAL_NANOS;
        mGroup.node().setRetiringHosts(mState.retiring());
        mGroup.node().setProbeHosts(isNeeded(controls) ? mRoster.jobMembers() : List.of());
        if (mGroup.isLeader(nowNanos)) {
            Stream<HostId> members = mGroup.status(nowNanos).members().all().map(Member::host);
            List<HostId> selfFirst = Stream.concat(Stream.of(mSelf), members).distinct().toList();
            mRoster.ledBy(mGroup.term(), selfFirst, out);
            // Two stand-ins would hand it to each other, and a retiring store would soon hand it
            // on.
            Set<HostId> avoided = new HashSet<>(controls);
            avoided.addAll(mState.retiring());
            mGroup.node().transferLeadership(avoided, nowNanos, out);
        }
    }

    /** Silent stores that are still members count, as they may come back. */
    private boolean isNeeded(List<HostId> controls) {
        List<HostId> members = mRoster.jobMembers();
        Set<HostId> stores = new HashSet<>(members);
        stores.removeAll(controls);
        mRoster.stores().forEach(stores::add);
        stores.removeAll(mState.retiring());
        return !members.isEmpty() && stores.size() < mVoters;
    }

    long nextTickNanos() {
        return mMayRun ? mNextCheckNanos : Node.NEVER;
    }
}
