package org.coltsfootproxy.direct;

import static java.util.stream.Collectors.toMap;
import static java.util.stream.Collectors.toSet;

import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ServiceVersions;
import org.coltsfootproxy.node.Node;

/**
 * The software versions of the targets that began streams, shared among entries and stores.
 *
 * <p>A caller may take up a stream at any entry, also after the end of the entry that began it. The
 * stream may go on only at the version that began it. Entries share what they know while a service
 * has targets of several versions; otherwise the only version is the right one.
 */
public final class StreamVersions {
    /** How long a stream is remembered. */
    private static final long STREAM_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

    /** Age of the streams that other entries are told of when they may have missed some. */
    private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final int MAX_STREAMS = 50_000;

    /** The versions of each service that the list shows. */
    private Map<ServiceId, Set<SoftwareVersion>> mListed = Map.of();

    /**
     * For each service whose listed versions are on record at the control hosts, the versions that
     * the list no longer shows.
     */
    private Map<ServiceId, Set<SoftwareVersion>> mEarlier = Map.of();

    /** When this host got its first list; {@link Node#NEVER} before. */
    private long mFirstListed = Node.NEVER;

    /** Until when earlier lists have shown the versions of a service. */
    private final Map<ServiceId, Map<SoftwareVersion, Long>> mShownUntil = new HashMap<>();

    /** The streams by their ids, the oldest first. */
    private final LinkedHashMap<Long, Begun> mStreams = new LinkedHashMap<>();

    private final Map<Long, SoftwareVersion> mUnreported = new LinkedHashMap<>();

    /**
     * A stream that has begun.
     *
     * @param service the stream's service; empty if another entry has begun it
     */
    private record Begun(SoftwareVersion version, Optional<ServiceId> service, long at) {}

    private StreamVersions() {}

    /** Returns an instance that knows no streams. */
    public static StreamVersions create() {
        return new StreamVersions();
    }

    /** Returns the id by which entries know a stream. */
    private static long streamId(OrganisationId organisation, String firstRequest) {
        return Hashing.murmur3_128()
                .newHasher()
                .putUnencodedChars(organisation.value())
                .putChar('\n')
                .putUnencodedChars(firstRequest)
                .hash()
                .asLong();
    }

    /** Applies a new target list. */
    void listed(FleetMessage.Listing listing, long nowNanos) {
        Set<ServiceId> mixedBefore = mixedServices(nowNanos);
        mListed.forEach(
                (service, versions) ->
                        versions.forEach(version -> noteShown(service, version, nowNanos)));
        mFirstListed = mFirstListed == Node.NEVER ? nowNanos : mFirstListed;
        mListed = ListedVersions.of(listing.targets());
        mEarlier =
                listing.earlier().stream()
                        .collect(toMap(ServiceVersions::service, v -> Set.copyOf(v.versions())));
        Set<ServiceId> mixed = mixedServices(nowNanos);
        mixed.removeAll(mixedBefore);
        reportOwn(mixed, nowNanos);
    }

    private void noteShown(ServiceId service, SoftwareVersion version, long nowNanos) {
        mShownUntil.computeIfAbsent(service, s -> new HashMap<>()).put(version, nowNanos);
    }

    private Set<ServiceId> mixedServices(long nowNanos) {
        return Stream.of(mListed, mShownUntil, mEarlier)
                .flatMap(services -> services.keySet().stream())
                .filter(service -> versions(service, nowNanos).size() > 1)
                .collect(toSet());
    }

    /** Returns the versions of a service that are listed or known to have been so recently. */
    private Set<SoftwareVersion> versions(ServiceId service, long nowNanos) {
        Stream<SoftwareVersion> earlier =
                mShownUntil.getOrDefault(service, Map.of()).entrySet().stream()
                        .filter(
                                shown ->
                                        nowNanos - shown.getValue()
                                                < ListedVersions.RETENTION_NANOS)
                        .map(Map.Entry::getKey);
        return Stream.of(
                        mListed.getOrDefault(service, Set.of()).stream(),
                        mEarlier.getOrDefault(service, Set.of()).stream(),
                        earlier)
                .flatMap(versions -> versions)
                .collect(toSet());
    }

    /**
     * Returns whether all versions of a service are known that may have begun a recent stream: they
     * are on record, or this host has had a list for as long as a version is remembered.
     */
    private boolean knowsVersions(ServiceId service, long nowNanos) {
        return mEarlier.containsKey(service)
                || mFirstListed != Node.NEVER
                        && nowNanos - mFirstListed >= ListedVersions.RETENTION_NANOS;
    }

    /**
     * Returns whether a stream of a listed service would be refused if this host didn't know it.
     */
    boolean needsStreams(long nowNanos) {
        return mListed.keySet().stream()
                .anyMatch(service -> onlyVersion(service, nowNanos).isEmpty());
    }

    /** Returns the version that must have begun any recent stream of a service. */
    private Optional<SoftwareVersion> onlyVersion(ServiceId service, long nowNanos) {
        Set<SoftwareVersion> versions = versions(service, nowNanos);
        return versions.size() == 1 && knowsVersions(service, nowNanos)
                ? versions.stream().findFirst()
                : Optional.empty();
    }

    /** Notes that a target of a version has sent the first event of a request's stream. */
    void begun(DirectRequest request, SoftwareVersion version, long nowNanos) {
        if (request.name().isEmpty()) {
            return;
        }
        long stream = streamId(request.organisation().id(), request.name());
        remember(stream, new Begun(version, Optional.of(request.service()), nowNanos));
        if (versions(request.service(), nowNanos).size() > 1) {
            mUnreported.put(stream, version);
        }
    }

    private void remember(long stream, Begun begun) {
        mStreams.remove(stream);
        mStreams.put(stream, begun);
        Iterator<Begun> oldest = mStreams.values().iterator();
        while (oldest.hasNext()) {
            boolean isOld = begun.at() - oldest.next().at() >= STREAM_RETENTION_NANOS;
            if (!isOld && mStreams.size() <= MAX_STREAMS) {
                return;
            }
            oldest.remove();
        }
    }

    /**
     * Returns the version at which a stream that its caller takes up has to go on; empty if it is
     * unknown and several versions come into question.
     */
    Optional<SoftwareVersion> versionOf(DirectRequest request, long nowNanos) {
        String first = request.resumption().orElseThrow().firstRequest();
        Begun begun = mStreams.get(streamId(request.organisation().id(), first));
        if (begun != null) {
            return Optional.of(begun.version());
        }
        return onlyVersion(request.service(), nowNanos);
    }

    /**
     * Returns whether the version at which a stream goes on would follow from the list alone, so
     * that the list has to be current.
     */
    boolean followsFromList(DirectRequest request, long nowNanos) {
        return request.isResumable()
                && request.resumption()
                        .map(r -> streamId(request.organisation().id(), r.firstRequest()))
                        .filter(stream -> !mStreams.containsKey(stream))
                        .isPresent()
                && onlyVersion(request.service(), nowNanos).isPresent();
    }

    /** Applies another entry's report. */
    void handle(List<FleetMessage.BegunStreams> reports, long nowNanos) {
        for (FleetMessage.BegunStreams report : reports) {
            for (long stream : report.streams()) {
                remember(stream, new Begun(report.version(), Optional.empty(), nowNanos));
            }
        }
    }

    /** Reports the recent streams of this entry again, because others may have missed some. */
    void reportAgain(long nowNanos) {
        reportOwn(mixedServices(nowNanos), nowNanos);
    }

    private void reportOwn(Set<ServiceId> services, long nowNanos) {
        mStreams.forEach(
                (stream, begun) -> {
                    boolean isRecent = nowNanos - begun.at() < REPEAT_NANOS;
                    if (isRecent && begun.service().filter(services::contains).isPresent()) {
                        mUnreported.put(stream, begun.version());
                    }
                });
    }

    /** Returns whether other entries have to be told of streams. */
    boolean hasReport() {
        return !mUnreported.isEmpty();
    }

    /** Returns the streams that other entries don't know of yet. */
    List<FleetMessage.BegunStreams> takeReport() {
        List<FleetMessage.BegunStreams> report = byVersion(mUnreported);
        mUnreported.clear();
        return report;
    }

    /**
     * Returns all recent streams that any entry has reported or begun, for one that has started.
     */
    public List<FleetMessage.BegunStreams> recent(long nowNanos) {
        Map<Long, SoftwareVersion> recent = new LinkedHashMap<>();
        mStreams.forEach(
                (stream, begun) -> {
                    if (nowNanos - begun.at() < REPEAT_NANOS) {
                        recent.put(stream, begun.version());
                    }
                });
        return byVersion(recent);
    }

    private static List<FleetMessage.BegunStreams> byVersion(Map<Long, SoftwareVersion> streams) {
        Map<SoftwareVersion, List<Long>> ids = new LinkedHashMap<>();
        streams.forEach(
                (stream, version) ->
                        ids.computeIfAbsent(version, v -> new ArrayList<>()).add(stream));
        return ids.entrySet().stream()
                .map(entry -> new FleetMessage.BegunStreams(entry.getKey(), entry.getValue()))
                .toList();
    }
}
