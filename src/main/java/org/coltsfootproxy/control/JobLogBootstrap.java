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
 * Bootstraps the job log, once in the lifetime of the fleet. The leader of the configuration log
 * proposes the initial members; the first committed proposal decides.
 */
final class JobLogBootstrap {
    /** Wait for the wanted number of stores before fewer are used; hosts start within a second. */
    private static final long STORE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(6);

    private final int mWantedVoters;
    private final FleetRoster mRoster;
    private final FleetState mState;
    private final RaftGroup mConfig;
    private long mStartNanos;
    private boolean mIsProposing;

    JobLogBootstrap(int wantedVoters, FleetRoster roster, FleetState state, RaftGroup config) {
        mWantedVoters = wantedVoters;
        mRoster = roster;
        mState = state;
        mConfig = config;
    }

    void start(long nowNanos) {
        mStartNanos = nowNanos;
    }

    /** Sends the initial members to an enrolling store that is one of them and still blank. */
    void enrolled(HostId host, FleetMessage.Enrol enrol, Effects out) {
        FleetMessage.StoreState store = enrol.store();
        boolean isInitialMember =
                store != null
                        && store.blank()
                        && mState.initialMembers().contains(Member.of(host, store.incarnation()));
        if (isInitialMember) {
            out.send(host, new FleetMessage.BootstrapJobLog(mState.initialMembers()));
        }
    }

    /** Proposes initial members if this host leads the configuration log and there are none. */
    void tick(long nowNanos, Effects out) {
        if (mIsProposing || !mState.initialMembers().isEmpty() || !mConfig.isLeader(nowNanos)) {
            return;
        }
        List<Member> stores = blankStores();
        boolean isWaitOver = nowNanos - mStartNanos >= STORE_WAIT_NANOS;
        int largestOddSize = isWaitOver ? (stores.size() - 1) / 2 * 2 + 1 : 0;
        int size = stores.size() >= mWantedVoters ? mWantedVoters : largestOddSize;
        if (size > 0 && !stores.isEmpty()) {
            propose(spreadOverDataCentres(stores, size), out);
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

    /** Selects members from as many data centres as possible. */
    private List<Member> spreadOverDataCentres(List<Member> stores, int size) {
        List<Member> oneOfEachCentre = new ArrayList<>();
        List<Member> rest = new ArrayList<>();
        Set<DataCentre> seen = new HashSet<>();
        stores.stream()
                .sorted(Comparator.comparing(Member::host))
                .forEach(
                        member ->
                                (seen.add(dataCentre(member)) ? oneOfEachCentre : rest)
                                        .add(member));
        return Stream.concat(oneOfEachCentre.stream(), rest.stream()).limit(size).toList();
    }

    private DataCentre dataCentre(Member member) {
        return mRoster.enrolment(member.host()).orElseThrow().dataCentre();
    }

    private void propose(List<Member> members, Effects out) {
        mIsProposing = true;
        byte[] command = ConfigStateMachine.fleetCommand(new FleetCommand.BootstrapJobLog(members));
        mConfig.propose(
                command,
                new Proposer.Completion() {
                    @Override
                    public void committed(long index, byte[] result) {
                        mIsProposing = false;
                        out.log(EventCode.JOBS_FOUNDED, "members " + mState.initialMembers());
                    }

                    @Override
                    public void failed(ErrorKind kind) {
                        mIsProposing = false;
                    }
                });
    }
}
