package org.coltsfootproxy.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.FleetRole;
import org.coltsfootproxy.node.Effects;

/**
 * A host's view of a fleet with changing membership. The host enrols with all control hosts that it
 * knows and learns the other hosts from the rosters that they return.
 *
 * <p>It starts with the seeds and keeps enrolling with them, so that it can rejoin even if all
 * control hosts that it has learnt no longer exist. A host is a member as long as any control
 * host's roster lists it: a control host that is partitioned from some hosts, or that has just
 * started, does not remove them.
 */
public final class FleetMembership {
    /** Interval between enrolments, in nanoseconds. */
    static final long ENROL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Self mSelf;

    /** The last roster of each control host. */
    private final Map<HostId, FleetMessage.Roster> mRosters = new LinkedHashMap<>();

    /** The merged roster. */
    private FleetMessage.Roster mRoster = merge(List.of());

    /** The disconnected control host whose roster is kept because it is the only one, or null. */
    private HostId mStaleRosterHost;

    private List<HostId> mSeeds;
    private long mNextEnrolmentNanos;
    private long mConfirmation;

    /**
     * Identity of this host.
     *
     * @param name name of the host that is shown to operators
     */
    public record Self(HostId host, String name, FleetRole role, DataCentre dataCentre) {
        /** Checks that no component is null. */
        public Self {
            checkNotNull(host, "host");
            checkNotNull(name, "name");
            checkNotNull(role, "role");
            checkNotNull(dataCentre, "dataCentre");
        }
    }

    private FleetMembership(Self self, Collection<HostId> seeds) {
        mSelf = checkNotNull(self, "self");
        seeds(seeds);
    }

    /**
     * Returns the membership of a host that has not enrolled yet.
     *
     * @param seeds initial hosts to enrol with, at least one; some of them must be control hosts
     */
    public static FleetMembership create(Self self, Collection<HostId> seeds) {
        return new FleetMembership(self, seeds);
    }

    /** Replaces the seeds, of which there must be at least one. */
    public void seeds(Collection<HostId> seeds) {
        checkArgument(!seeds.isEmpty(), "seeds must not be empty");
        mSeeds = List.copyOf(seeds);
    }

    /** Schedules the first enrolment for now. */
    public void start(long nowNanos) {
        mNextEnrolmentNanos = nowNanos;
    }

    /** Makes the next enrolment due now, because the state that the host reports has changed. */
    public void enrolNow(long nowNanos) {
        mNextEnrolmentNanos = Math.min(mNextEnrolmentNanos, nowNanos);
    }

    /**
     * Enrols now and asks the control hosts to confirm that the target list is current.
     *
     * @param number number of the request, above 0
     */
    public void confirmListing(long number, long nowNanos) {
        mConfirmation = number;
        enrolNow(nowNanos);
    }

    /**
     * Handles the roster of a control host.
     *
     * @return whether the merged roster has changed
     */
    public boolean handle(HostId from, FleetMessage.Roster roster) {
        mRosters.put(from, roster);
        if (!from.equals(mStaleRosterHost)) {
            mRosters.remove(mStaleRosterHost);
        }
        mStaleRosterHost = null;
        return update();
    }

    /**
     * Drops the roster of a control host whose connection was lost. If it is the only roster, it is
     * kept until another control host sends one.
     *
     * @return whether the merged roster has changed
     */
    public boolean peerLost(HostId host) {
        if (mRosters.size() == 1 && mRosters.containsKey(host)) {
            mStaleRosterHost = host;
            return false;
        }
        mRosters.remove(host);
        return update();
    }

    private boolean update() {
        FleetMessage.Roster before = mRoster;
        mRoster = merge(mRosters.values());
        return !mRoster.equals(before);
    }

    private static FleetMessage.Roster merge(Collection<FleetMessage.Roster> rosters) {
        Optional<FleetMessage.Roster> latest =
                rosters.stream().max(Comparator.comparingLong(FleetMessage.Roster::jobTerm));
        List<HostId> retiring = union(rosters, FleetMessage.Roster::retiring);
        return new FleetMessage.Roster(
                0,
                union(rosters, FleetMessage.Roster::controls),
                union(rosters, FleetMessage.Roster::entries),
                union(rosters, FleetMessage.Roster::stores).stream()
                        .filter(host -> !retiring.contains(host))
                        .toList(),
                latest.map(FleetMessage.Roster::jobTerm).orElse(0L),
                latest.map(FleetMessage.Roster::jobMembers).orElse(List.of()),
                retiring,
                rosters.stream()
                        .flatMap(roster -> roster.placements().stream())
                        .distinct()
                        .sorted(Comparator.comparing(FleetMessage.HostPlacement::host))
                        .toList());
    }

    private static List<HostId> union(
            Collection<FleetMessage.Roster> rosters,
            Function<FleetMessage.Roster, List<HostId>> hostsOf) {
        return rosters.stream().map(hostsOf).flatMap(List::stream).sorted().distinct().toList();
    }

    /** Returns the merged roster: all hosts that any control host lists; empty at the start. */
    public FleetMessage.Roster roster() {
        return mRoster;
    }

    /** Returns the control hosts: those learnt from rosters, then the seeds. */
    public List<HostId> controls() {
        return Stream.concat(mRoster.controls().stream(), mSeeds.stream()).distinct().toList();
    }

    /** Returns all entries of the fleet, including this host if it is an entry. */
    public List<HostId> entries() {
        Stream<HostId> self =
                mSelf.role() == FleetRole.ENTRY ? Stream.of(mSelf.host()) : Stream.empty();
        return Stream.concat(mRoster.entries().stream(), self).sorted().distinct().toList();
    }

    /** Returns all hosts that call targets: entries and stores, including retiring ones. */
    public List<HostId> targetCallers() {
        return Stream.of(entries(), mRoster.stores(), mRoster.retiring())
                .flatMap(List::stream)
                .distinct()
                .toList();
    }

    /** Returns the data centres of the hosts, as far as the control hosts know them. */
    public Map<HostId, DataCentre> dataCentres() {
        Map<HostId, DataCentre> dataCentres = new LinkedHashMap<>();
        mRoster.placements().forEach(p -> dataCentres.put(p.host(), p.dataCentre()));
        dataCentres.put(mSelf.host(), mSelf.dataCentre());
        return dataCentres;
    }

    /**
     * Returns the hosts to ask about batch jobs: members of the job log, with the leader first,
     * then other stores; the seeds as long as no such host is known.
     */
    public List<HostId> jobHosts() {
        List<HostId> known =
                Stream.concat(mRoster.jobMembers().stream(), mRoster.stores().stream())
                        .distinct()
                        .toList();
        return known.isEmpty() ? mSeeds : known;
    }

    /**
     * Enrols with all known control hosts if an enrolment is due.
     *
     * @param listing number of the target list that this host has
     * @param store state of this host's job store; null for hosts without one
     * @param quarantined parts of prompts with which this host sends no calls
     */
    public void tick(
            long listing,
            FleetMessage.StoreState store,
            List<FleetMessage.Quarantined> quarantined,
            long nowNanos,
            Effects out) {
        if (nowNanos - mNextEnrolmentNanos < 0) {
            return;
        }
        mNextEnrolmentNanos = nowNanos + ENROL_INTERVAL_NANOS;
        for (HostId control : controls()) {
            FleetMessage.Roster roster = mRosters.get(control);
            long digest = roster == null ? 0 : roster.digest();
            out.send(
                    control,
                    new FleetMessage.Enrol(
                            mSelf.role(),
                            mSelf.name(),
                            mSelf.dataCentre(),
                            new FleetMessage.KnownVersions(digest, listing),
                            store,
                            quarantined,
                            mConfirmation));
        }
        mConfirmation = 0;
    }

    /** Returns the time of the next due {@link #tick}. */
    public long nextTickNanos() {
        return mNextEnrolmentNanos;
    }
}
