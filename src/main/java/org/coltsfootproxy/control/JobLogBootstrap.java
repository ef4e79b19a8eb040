package org.coltsfootproxy.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.consensus.Proposer;
import org.coltsfootproxy.membership.FleetRoster;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effects;

/**
 * Has the log of the jobs begun, once for the life of the fleet: the leader of the configuration
 * proposes first members, and the commit decides.
 */
final class JobLogBootstrap {
    /** How long a leader waits for as many stores as are wanted; hosts start within a second. */
    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(6);

    private final int mWanted;
    private final FleetRoster mRoster;
    private final FleetState mState;
    private final RaftGroup mConfig;
    private long mSince;
    private boolean mIsProposing;

    JobLogBootstrap(int wanted, FleetRoster roster, FleetState state, RaftGroup config) {
        mWanted = wanted;
        mRoster = roster;
        mState = state;
        mConfig = config;
    }

    void start(long nowNanos) {
        mSince = nowNanos;
    }

    /** Tells a store that has enrolled blank that it is one of the first members. */
    void enrolled(HostId host, FleetMessage.Enrol enrol, Effects out) {
        FleetMessage.StoreState store = enrol.store();
        boolean isFounder =
                store != null
                        && store.blank()
                        && mState.founders().contains(Member.of(host, store.incarnation()));
        if (isFounder) {
            out.send(host, new FleetMessage.FoundJobs(mState.founders()));
        }
    }

    /** Proposes first members if this host leads and there are none. */
    void tick(long nowNanos, Effects out) {
        if (mIsProposing || !mState.founders().isEmpty() || !mConfig.isLeader(nowNanos)) {
            return;
        }
        List<Member> stores = blankStores();
        boolean isLate = nowNanos - mSince >= PATIENCE_NANOS;
        int most = isLate ? (stores.size() - 1) / 2 * 2 + 1 : 0;
        int size = stores.size() >= mWanted ? mWanted : most;
        if (size > 0 && !stores.isEmpty()) {
            propose(spread(stores, size), out);
        }
    }

    private List<Member> blankStores() {
        return mRoster.stores().flatMap(host -> blank(host).stream()).toList();
    }

    private Optional<Member> blank(HostId host) {
        return mRoster.enrolment(host)
                .map(FleetMessage.Enrol::store)
                .filter(FleetMessage.StoreState::blank)
                .map(store -> Member.of(host, store.incarnation()));
    }

    /** Takes members of as many data centres as there are. */
    private List<Member> spread(List<Member> stores, int size) {
        List<Member> first = new ArrayList<>();
        List<Member> rest = new ArrayList<>();
        Set<DataCentre> seen = new HashSet<>();
        stores.stream()
                .sorted(Comparator.comparing(Member::host))
                .forEach(member -> (seen.add(dataCentre(member)) ? first : rest).add(member));
        return Stream.concat(first.stream(), rest.stream()).limit(size).toList();
    }

    private DataCentre dataCentre(Member member) {
        return mRoster.enrolment(member.host()).orElseThrow().dataCentre();
    }

    private void propose(List<Member> members, Effects out) {
        mIsProposing = true;
        byte[] command = ConfigStateMachine.fleetCommand(new FleetCommand.FoundJobs(members));
        mConfig.propose(
                command,
                new Proposer.Completion() {
                    @Override
                    public void committed(long index, byte[] result) {
                        mIsProposing = false;
                        out.log(EventCode.JOBS_FOUNDED, "members " + mState.founders());
                    }

                    @Override
                    public void failed(ErrorKind kind) {
                        mIsProposing = false;
                    }
                });
    }
}
