package org.coltsfootproxy.direct;

import static java.util.stream.Collectors.groupingBy;
import static java.util.stream.Collectors.mapping;
import static java.util.stream.Collectors.toSet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.message.ServiceVersions;

/**
 * The software versions that each service has had recently, as a control host knows them from the
 * target lists that it has seen and from the replicated record.
 *
 * <p>An entry that has just started doesn't know which versions were listed before. It learns them
 * with its first list, and takes the only listed version for the one that began any stream only if
 * the record names no other.
 */
public final class ListedVersions {
    /** How long a version is kept that the list no longer shows. */
    static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** The versions in the latest list; empty if there was none yet. */
    private Optional<Map<ServiceId, Set<SoftwareVersion>>> mListed = Optional.empty();

    private final Map<ServiceId, Map<SoftwareVersion, Long>> mLastListed = new HashMap<>();
    private Map<ServiceId, Set<SoftwareVersion>> mRecord = Map.of();
    private boolean mIsLeader;
    private boolean mIsRecordDue;
    private long mNow;

    private ListedVersions() {}

    /** Returns an instance that has seen no list. */
    public static ListedVersions create() {
        return new ListedVersions();
    }

    /** Returns the versions of each service that a target has. */
    static Map<ServiceId, Set<SoftwareVersion>> of(List<ListedTarget> targets) {
        return targets.stream()
                .collect(
                        groupingBy(ListedTarget::service, mapping(ListedTarget::version, toSet())));
    }

    /**
     * Sets the time and the replicated record, and returns whether {@link #earlier} may have
     * changed with the record.
     *
     * @param isLeader whether this host leads the replicated log, so that its record is complete
     */
    public boolean update(
            boolean isLeader, Map<ServiceId, Set<SoftwareVersion>> record, long nowNanos) {
        mNow = nowNanos;
        boolean isNewLeader = isLeader && !mIsLeader;
        boolean isChanged = isNewLeader || isLeader && record != mRecord;
        mIsLeader = isLeader;
        mRecord = record;
        if (isNewLeader) {
            // The previous leader may have seen the versions until now.
            noteListed(record);
            mIsRecordDue = true;
        }
        return isChanged;
    }

    /** Returns whether this host leads the replicated log. */
    boolean isLeader() {
        return mIsLeader;
    }

    private void noteListed(Map<ServiceId, Set<SoftwareVersion>> versions) {
        versions.forEach(
                (service, listed) -> {
                    Map<SoftwareVersion, Long> last =
                            mLastListed.computeIfAbsent(service, s -> new HashMap<>());
                    listed.forEach(version -> last.put(version, mNow));
                });
    }

    /** Notes a list that was read or received, whether or not it differs from the last one. */
    void listed(List<ListedTarget> targets) {
        mListed.ifPresent(this::noteListed);
        Map<ServiceId, Set<SoftwareVersion>> versions = of(targets);
        noteListed(versions);
        mListed = Optional.of(versions);
        mIsRecordDue = true;
    }

    /** Returns the versions of a service that a list has shown within the retention time. */
    private Set<SoftwareVersion> recent(ServiceId service) {
        Set<SoftwareVersion> recent = new HashSet<>();
        mLastListed
                .getOrDefault(service, Map.of())
                .forEach(
                        (version, last) -> {
                            if (mNow - last < RETENTION_NANOS) {
                                recent.add(version);
                            }
                        });
        return recent;
    }

    /**
     * Returns {@link FleetMessage.Listing#earlier} for a list of targets.
     *
     * <p>The leader goes by the record. Any other host goes by the list that it has, and only adds
     * versions to it, since its replica of the record may be behind.
     *
     * @param known the list that this host has
     */
    List<ServiceVersions> earlier(List<ListedTarget> targets, FleetMessage.Listing known) {
        Map<ServiceId, Set<SoftwareVersion>> listed = of(targets);
        Map<ServiceId, Set<SoftwareVersion>> candidates =
                mIsLeader ? coveredBy(mRecord, listed) : candidates(known);
        List<ServiceVersions> earlier = new ArrayList<>();
        for (ServiceId service : new TreeSet<>(candidates.keySet())) {
            Set<SoftwareVersion> versions = new HashSet<>(candidates.get(service));
            versions.addAll(recent(service));
            versions.removeAll(listed.getOrDefault(service, Set.of()));
            earlier.add(new ServiceVersions(service, sorted(versions)));
        }
        return earlier;
    }

    /** Returns the part of the record that contains all listed versions of its services. */
    private static Map<ServiceId, Set<SoftwareVersion>> coveredBy(
            Map<ServiceId, Set<SoftwareVersion>> record,
            Map<ServiceId, Set<SoftwareVersion>> listed) {
        Map<ServiceId, Set<SoftwareVersion>> covered = new HashMap<>(record);
        listed.forEach(
                (service, versions) -> {
                    if (!record.getOrDefault(service, Set.of()).containsAll(versions)) {
                        covered.remove(service);
                    }
                });
        return covered;
    }

    /** Returns the versions that may have begun streams according to a list. */
    private static Map<ServiceId, Set<SoftwareVersion>> candidates(FleetMessage.Listing list) {
        Map<ServiceId, Set<SoftwareVersion>> listed = of(list.targets());
        Map<ServiceId, Set<SoftwareVersion>> candidates = new HashMap<>();
        for (ServiceVersions earlier : list.earlier()) {
            Set<SoftwareVersion> versions = new HashSet<>(earlier.versions());
            versions.addAll(listed.getOrDefault(earlier.service(), Set.of()));
            candidates.put(earlier.service(), versions);
        }
        return candidates;
    }

    private static List<SoftwareVersion> sorted(Set<SoftwareVersion> versions) {
        return versions.stream().sorted(Comparator.comparing(SoftwareVersion::value)).toList();
    }

    /** Returns what the leader has to record; empty if that is on record already. */
    public Optional<List<ServiceVersions>> takeDueRecord() {
        if (!mIsRecordDue || !mIsLeader || mListed.isEmpty()) {
            return Optional.empty();
        }
        mIsRecordDue = false;
        mLastListed.values().forEach(last -> last.values().removeIf(this::isExpired));
        mLastListed.values().removeIf(Map::isEmpty);
        Map<ServiceId, Set<SoftwareVersion>> next = new HashMap<>();
        mLastListed.forEach((service, last) -> next.put(service, Set.copyOf(last.keySet())));
        return next.equals(mRecord)
                ? Optional.empty()
                : Optional.of(
                        new TreeSet<>(next.keySet())
                                .stream()
                                        .map(s -> new ServiceVersions(s, sorted(next.get(s))))
                                        .toList());
    }

    private boolean isExpired(long lastListed) {
        return mNow - lastListed >= RETENTION_NANOS;
    }
}
