package org.coltsfootproxy.control;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.direct.FleetDesk;
import org.coltsfootproxy.direct.ListReader;
import org.coltsfootproxy.direct.TargetCalls;
import org.coltsfootproxy.direct.Targets;
import org.coltsfootproxy.membership.FleetRoster;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;

/** What a control host does besides its log in a fleet whose hosts find each other by seeds. */
final class FleetCoordinator {
    /** Time after its start in which a host doesn't know all others yet: some enrolments. */
    private static final long UNKNOWING_NANOS = 3_000_000_000L;

    private final ControlSettings mSettings;
    private final FleetParts mParts;
    private final RaftGroup mConfig;
    private final FleetState mState;
    private final TargetCalls mCalls = TargetCalls.create();
    private final FleetDesk mDesk;
    private final JobLogBootstrap mFounding;
    private List<HostId> mControls;
    private long mStarted;

    FleetCoordinator(
            ControlSettings settings,
            FleetParts parts,
            RaftGroup config,
            FleetState state,
            RandomGenerator random) {
        mSettings = settings;
        mParts = parts;
        mConfig = config;
        mState = state;
        mControls = parts.seeds();
        Targets targets = Targets.create(settings.dataCentre(), random);
        ListReader reader = ListReader.create(parts.listAddress(), parts.list(), mCalls);
        mDesk = FleetDesk.create(settings.self(), mControls, targets, reader);
        mFounding = new JobLogBootstrap(parts.voters(), mDesk.roster(), state, config);
    }

    void start(long nowNanos, Effects out) {
        mStarted = nowNanos;
        tellAddresses(out);
        mDesk.start(nowNanos);
        mFounding.start(nowNanos);
    }

    /** Hands an input to the part that waits for it; returns false if it is of another kind. */
    boolean handle(Input input, long nowNanos, Effects out) {
        return mCalls.handle(input, nowNanos, out);
    }

    void handle(HostId from, FleetMessage message, long nowNanos, Effects out) {
        mDesk.handle(from, message, nowNanos, out);
        if (message instanceof FleetMessage.Enrol enrol) {
            mFounding.enrolled(from, enrol, out);
        }
    }

    void peerUp(HostId host, Effects out) {
        mDesk.controlUp(host, out);
    }

    void tick(long nowNanos, Effects out) {
        followMembers(nowNanos, out);
        mDesk.roster().retiring(mState.retiring(), out);
        if (mDesk.nextTickNanos() <= nowNanos) {
            mDesk.tick(mConfig.isLeader(nowNanos), nowNanos, out);
            mFounding.tick(nowNanos, out);
        }
    }

    /** The members of the log are the control hosts; before they are known, the seeds are. */
    private void followMembers(long nowNanos, Effects out) {
        List<HostId> members =
                mConfig.status(nowNanos).members().all().map(Member::host).sorted().toList();
        if (members.isEmpty() || members.equals(mControls)) {
            return;
        }
        mControls = members;
        tellAddresses(out);
        mDesk.controls(members, out);
    }

    private void tellAddresses(Effects out) {
        Stream.concat(mControls.stream(), mParts.seeds().stream())
                .distinct()
                .filter(host -> !host.equals(mSettings.self()))
                .forEach(h -> out.add(new Effect.PeerAddress(h, mParts.addresses().of(h))));
    }

    /**
     * Returns the command that has a host emptied; empty if it is being emptied already.
     *
     * @throws ProxyException if the host isn't known or too few would be left
     */
    Optional<FleetCommand> retire(String name, long nowNanos) throws ProxyException {
        HostId host = host(name, nowNanos);
        if (mState.retiring().contains(host)) {
            return Optional.empty();
        }
        FleetRoster roster = mDesk.roster();
        long left =
                roster.stores()
                        .filter(store -> !store.equals(host))
                        .filter(store -> !mState.retiring().contains(store))
                        .count();
        if (left < mParts.voters()) {
            String detail = left + " hosts would be left to keep jobs, fewer than ";
            throw ProxyException.of(ErrorKind.CONFLICT, detail + mParts.voters());
        }
        return Optional.of(new FleetCommand.Retire(host));
    }

    /**
     * Tells whether a host that is to be emptied is empty.
     *
     * @throws ProxyException if the host isn't known or isn't to be emptied
     */
    boolean isRetired(String name, long nowNanos) throws ProxyException {
        HostId host = host(name, nowNanos);
        if (!mState.retiring().contains(host)) {
            throw ProxyException.of(ErrorKind.NOT_FOUND, name + " is not being emptied");
        }
        List<HostId> members = mDesk.roster().jobMembers();
        return !members.isEmpty() && !members.contains(host);
    }

    private HostId host(String name, long nowNanos) throws ProxyException {
        Optional<HostId> host = mDesk.roster().byName(name);
        if (host.isEmpty() && nowNanos - mStarted < UNKNOWING_NANOS) {
            String detail = "this host has just started and doesn't know all others yet";
            throw ProxyException.of(ErrorKind.NO_LEADER, detail);
        }
        return host.orElseThrow(
                () -> ProxyException.of(ErrorKind.NOT_FOUND, "no store has the name " + name));
    }

    long nextTickNanos() {
        return mDesk.nextTickNanos();
    }
}
