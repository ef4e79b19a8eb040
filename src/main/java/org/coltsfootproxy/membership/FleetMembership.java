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
 * A host's own side of a fleet that changes: it enrols with all control hosts that it knows and
 * learns the others from them.
 *
 * <p>It starts with the seeds and goes on asking them, so that it finds its way back even if all
 * control hosts that it has learnt are gone. A host counts as long as any control host knows it:
 * one that is cut off from some hosts, or that has just started, doesn't hide them.
 */
public final class FleetMembership {
    /** Time between two enrolments. */
    static final long ENROL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Self mSelf;
    private final Map<HostId, FleetMessage.Roster> mRosters = new LinkedHashMap<>();
    private FleetMessage.Roster mRoster = merge(List.of());
    private HostId mLastLost;
    private List<HostId> mSeeds;
    private long mNextEnrolment;

    /**
     * The host itself.
     *
     * @param name name by which operators know the host
     */
    public record Self(HostId host, String name, FleetRole role, DataCentre dataCentre) {
        /** Checks the parts. */
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
     * Returns the membership of a host that has just started.
     *
     * @param seeds hosts of which some are control hosts, at least one
     */
    public static FleetMembership create(Self self, Collection<HostId> seeds) {
        return new FleetMembership(self, seeds);
    }

    /** Replaces the seeds, at least one. */
    public void seeds(Collection<HostId> seeds) {
        checkArgument(!seeds.isEmpty(), "no seeds are given");
        mSeeds = List.copyOf(seeds);
    }

    /** Begins to enrol. */
    public void start(long nowNanos) {
        mNextEnrolment = nowNanos;
    }

    /** Has the next enrolment sent at once, as the host has something new to say. */
    public void hurry(long nowNanos) {
        mNextEnrolment = Math.min(mNextEnrolment, nowNanos);
    }

    /**
     * Takes the roster of a control host.
     *
     * @return whether the hosts have changed
     */
    public boolean handle(HostId from, FleetMessage.Roster roster) {
        mRosters.put(from, roster);
        if (!from.equals(mLastLost)) {
            mRosters.remove(mLastLost);
        }
        mLastLost = null;
        return update();
    }

    /**
     * Forgets what a control host has told, as its connection was lost; what the last one has told
     * is kept until another one tells more.
     *
     * @return whether the hosts have changed
     */
    public boolean peerLost(HostId host) {
        if (mRosters.size() == 1 && mRosters.containsKey(host)) {
            mLastLost = host;
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
                retiring);
    }

    private static List<HostId> union(
            Collection<FleetMessage.Roster> rosters,
            Function<FleetMessage.Roster, List<HostId>> part) {
        return rosters.stream().map(part).flatMap(List::stream).sorted().distinct().toList();
    }

    /** Returns the hosts that any control host knows; empty at the start. */
    public FleetMessage.Roster roster() {
        return mRoster;
    }

    /** Returns the control hosts: those that were learnt, then the seeds. */
    public List<HostId> controls() {
        return Stream.concat(mRoster.controls().stream(), mSeeds.stream()).distinct().toList();
    }

    /** Returns all entries of the fleet, this host included if it is one. */
    public List<HostId> entries() {
        Stream<HostId> self =
                mSelf.role() == FleetRole.ENTRY ? Stream.of(mSelf.host()) : Stream.empty();
        return Stream.concat(mRoster.entries().stream(), self).sorted().distinct().toList();
    }

    /** Returns all hosts that call targets: entries and stores, those that retire included. */
    public List<HostId> callers() {
        return Stream.of(entries(), mRoster.stores(), mRoster.retiring())
                .flatMap(List::stream)
                .distinct()
                .toList();
    }

    /**
     * Returns the hosts to ask about batch jobs, the likeliest first; seeds as long as none is
     * known.
     */
    public List<HostId> jobHosts() {
        List<HostId> known =
                Stream.concat(mRoster.jobMembers().stream(), mRoster.stores().stream())
                        .distinct()
                        .toList();
        return known.isEmpty() ? mSeeds : known;
    }

    /**
     * Enrols if it is time to.
     *
     * @param listing number of the target list that this host has
     * @param store what a host that keeps jobs says of its store; null for others
     */
    public void tick(long listing, FleetMessage.StoreState store, long nowNanos, Effects out) {
        if (nowNanos - mNextEnrolment < 0) {
            return;
        }
        mNextEnrolment = nowNanos + ENROL_NANOS;
        for (HostId control : controls()) {
            FleetMessage.Roster roster = mRosters.get(control);
            long digest = roster == null ? 0 : roster.digest();
            out.send(
                    control,
                    new FleetMessage.Enrol(
                            mSelf.role(),
                            mSelf.name(),
                            mSelf.dataCentre(),
                            new FleetMessage.Known(digest, listing),
                            store));
        }
    }

    /** Returns the time of the next due {@link #tick}. */
    public long nextTickNanos() {
        return mNextEnrolment;
    }
}
