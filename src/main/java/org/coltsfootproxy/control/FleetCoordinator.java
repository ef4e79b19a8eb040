package org.coltsfootproxy.control;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.consensus.Members;
import org.coltsfootproxy.direct.FleetDirectory;
import org.coltsfootproxy.direct.ListedVersions;
import org.coltsfootproxy.direct.TargetCalls;
import org.coltsfootproxy.direct.TargetListReader;
import org.coltsfootproxy.direct.Targets;
import org.coltsfootproxy.membership.FleetRoster;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;

/**
 * Coordinates a fleet that discovers its hosts through seeds: keeps the roster of hosts and the
 * list of targets up to date, bootstraps the job log, and retires hosts.
 */
final class FleetCoordinator {
    /** Time after the start in which the roster may be incomplete; it spans several enrolments. */
    private static final long ROSTER_INCOMPLETE_NANOS = 3_000_000_000L;

    private final ControlSettings mSettings;
    private final SeedFleetSettings mFleetSettings;
    private final RaftGroup mConfig;
    private final FleetState mState;
    private final TargetCalls mCalls = TargetCalls.create();
    private final FleetDirectory mDirectory;
    private final JobLogBootstrap mBootstrap;
    private final QuarantineStore mQuarantine;
    private final VersionRecord mVersionRecord;
    private final Targets mTargets;
    private final KnownDataCentres mDataCentres;
    private final Optional<JobLogStandIn> mStandIn;
    private List<HostId> mControlHosts;

    /** The members of the log from which the control hosts were last read. */
    private Members mMembers;

    private long mStartNanos;

    FleetCoordinator(
            ControlSettings settings,
            SeedFleetSettings fleetSettings,
            RaftGroup config,
            Optional<RaftGroup> jobLog,
            FleetState state,
            RandomGenerator random) {
        mSettings = settings;
        mFleetSettings = fleetSettings;
        mConfig = config;
        mState = state;
        mControlHosts = fleetSettings.seeds();
        mTargets = Targets.create(settings.dataCentre(), random);
        mDataCentres = new KnownDataCentres(settings.dataCentre());
        TargetListReader reader =
                TargetListReader.create(fleetSettings.listAddress(), fleetSettings.list(), mCalls);
        ListedVersions versions = ListedVersions.create();
        mDirectory =
                FleetDirectory.create(settings.self(), mControlHosts, mTargets, reader, versions);
        mBootstrap =
                new JobLogBootstrap(fleetSettings.voters(), mDirectory.roster(), state, config);
        mQuarantine = new QuarantineStore(state, config);
        mVersionRecord = new VersionRecord(versions, state, config);
        mStandIn =
                jobLog.map(
                        group ->
                                new JobLogStandIn(
                                        settings.self(),
                                        fleetSettings.voters(),
                                        group,
                                        state,
                                        mDirectory.roster()));
    }

    void start(long nowNanos, Effects out) {
        mStartNanos = nowNanos;
        sendPeerAddresses(out);
        mDirectory.start(nowNanos);
        mBootstrap.start(nowNanos);
        mStandIn.ifPresent(standIn -> standIn.start(nowNanos + ROSTER_INCOMPLETE_NANOS));
    }

    /** Handles the input of a call to a target; returns false for any other input. */
    boolean handle(Input input, long nowNanos, Effects out) {
        updateVersions(nowNanos, out);
        return mCalls.handle(input, nowNanos, out);
    }

    void handle(HostId from, FleetMessage message, long nowNanos, Effects out) {
        updateVersions(nowNanos, out);
        if (message instanceof FleetMessage.Enrol enrol) {
            // Before the list of targets, without which the host sends no calls.
            mQuarantine.enrolled(from, enrol, nowNanos, out);
            mDataCentres.enrolled(enrol);
        }
        mDirectory.handle(from, message, nowNanos, out);
        if (message instanceof FleetMessage.Enrol enrol) {
            mBootstrap.enrolled(from, enrol, out);
        }
    }

    void peerUp(HostId host, Effects out) {
        mDirectory.controlUp(host, out);
    }

    private void updateVersions(long nowNanos, Effects out) {
        if (mVersionRecord.update(nowNanos)) {
            mDirectory.versionsChanged(out);
        }
    }

    void tick(long nowNanos, Effects out) {
        updateVersions(nowNanos, out);
        mVersionRecord.tick(out);
        updateControlHosts(out);
        mDirectory.roster().retiring(mState.retiring(), out);
        mDataCentres.listed(mTargets.listing());
        mStandIn.ifPresent(standIn -> standIn.tick(mControlHosts, nowNanos, out));
        if (mDirectory.nextTickNanos() <= nowNanos) {
            mDirectory.tick(mConfig.isLeader(nowNanos), nowNanos, out);
            mBootstrap.tick(nowNanos, out);
            mQuarantine.tick(mDirectory.roster().hasHosts(), nowNanos);
        }
    }

    /** Follows the control hosts: the members of the log or, until these are known, the seeds. */
    private void updateControlHosts(Effects out) {
        if (mConfig.members() == mMembers) {
            return;
        }
        mMembers = mConfig.members();
        List<HostId> members = mMembers.all().map(Member::host).sorted().toList();
        if (members.isEmpty() || members.equals(mControlHosts)) {
            return;
        }
        mControlHosts = members;
        sendPeerAddresses(out);
        mDirectory.controls(members, out);
    }

    private void sendPeerAddresses(Effects out) {
        Stream.concat(mControlHosts.stream(), mFleetSettings.seeds().stream())
                .distinct()
                .filter(host -> !host.equals(mSettings.self()))
                .forEach(h -> out.add(new Effect.PeerAddress(h, mFleetSettings.addresses().of(h))));
    }

    /**
     * Returns the command that retires a host; empty if it is being retired already.
     *
     * @throws ProxyException if the host is not known or too few stores would remain
     */
    Optional<FleetCommand> retire(String name, long nowNanos) throws ProxyException {
        HostId host = host(name, nowNanos);
        if (mState.retiring().contains(host)) {
            return Optional.empty();
        }
        FleetRoster roster = mDirectory.roster();
        long remaining =
                roster.stores()
                        .filter(store -> !store.equals(host))
                        .filter(store -> !mState.retiring().contains(store))
                        .count();
        int needed = JobLogStandIn.minRemainingStores(mFleetSettings.voters());
        if (remaining < needed) {
            String detail = remaining + " hosts would remain to store jobs, fewer than ";
            throw ProxyException.of(ErrorKind.CONFLICT, detail + needed);
        }
        return Optional.of(new FleetCommand.Retire(host));
    }

    /**
     * Returns whether a retiring host has left the job log, which completes its retirement.
     *
     * @throws ProxyException if the host is not known or is not being retired
     */
    boolean isRetired(String name, long nowNanos) throws ProxyException {
        HostId host = host(name, nowNanos);
        if (!mState.retiring().contains(host)) {
            throw ProxyException.of(ErrorKind.NOT_FOUND, name + " is not being retired");
        }
        List<HostId> members = mDirectory.roster().jobMembers();
        return !members.isEmpty() && !members.contains(host);
    }

    private HostId host(String name, long nowNanos) throws ProxyException {
        Optional<HostId> host = mDirectory.roster().byName(name);
        if (host.isEmpty() && nowNanos - mStartNanos < ROSTER_INCOMPLETE_NANOS) {
            String detail = "this host has just started and does not know all hosts yet";
            throw ProxyException.of(ErrorKind.NO_LEADER, detail);
        }
        return host.orElseThrow(
                () -> ProxyException.of(ErrorKind.NOT_FOUND, "no store is named " + name));
    }

    /**
     * Returns the data centre of a name that a listed target or an enrolled host has.
     *
     * @throws ProxyException if there is none
     */
    DataCentre dataCentre(String name, long nowNanos) throws ProxyException {
        mDataCentres.listed(mTargets.listing());
        Optional<DataCentre> dataCentre = mDataCentres.byName(name);
        boolean isIncomplete =
                nowNanos - mStartNanos < ROSTER_INCOMPLETE_NANOS
                        || mTargets.listing().number() == 0;
        if (dataCentre.isEmpty() && isIncomplete) {
            String detail = "this host does not know all targets and hosts yet";
            throw ProxyException.of(ErrorKind.NO_LEADER, detail);
        }
        return dataCentre.orElseThrow(
                () ->
                        ProxyException.of(
                                ErrorKind.NOT_FOUND, "no data centre is named '" + name + "'"));
    }

    long nextTickNanos() {
        long standIn = mStandIn.map(JobLogStandIn::nextTickNanos).orElse(Node.NEVER);
        return Math.min(mDirectory.nextTickNanos(), standIn);
    }
}
