package org.coltsfootproxy.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * The objects of the configuration, each with the ticket and version that last set it, and the
 * tombstones of removed objects.
 *
 * <p>Since each object carries its version, the changes since a version can be computed without a
 * log of changes, even after a restart.
 */
final class ObjectTable {
    private final int mMaxTombstones;
    private final TreeMap<ObjectName, VersionedChange> mChanges = new TreeMap<>();
    private final TreeMap<Long, List<ObjectName>> mNamesByVersion = new TreeMap<>();
    private final TreeSet<VersionedChange> mTombstones =
            new TreeSet<>(
                    Comparator.comparingLong(VersionedChange::ticket)
                            .thenComparing(VersionedChange::name));
    private final Map<String, ObjectName> mKeysByDigest = new HashMap<>();
    private final int[] mCounts = new int[ObjectKind.values().length];
    private long mMinDeltaVersion;

    /**
     * A change with its origin.
     *
     * @param change the object, or its removal if this is a tombstone
     * @param ticket number of the ticket that made the change
     * @param version version that the ticket produced
     */
    record VersionedChange(ConfigChange change, long ticket, long version) {
        ObjectName name() {
            return change.objectName();
        }

        boolean isRemoved() {
            return change instanceof Removed;
        }
    }

    ObjectTable(int maxTombstones) {
        mMaxTombstones = maxTombstones;
    }

    /** Returns the object or tombstone of this name. */
    Optional<VersionedChange> find(ObjectName name) {
        return Optional.ofNullable(mChanges.get(name));
    }

    /** Returns all objects and tombstones, ordered by name. */
    Stream<VersionedChange> versionedChanges() {
        return mChanges.values().stream();
    }

    /** Returns the existing objects of a kind, ordered by name. */
    <T extends ConfigObject> Stream<T> objects(ObjectKind kind, Class<T> type) {
        ObjectName first = ObjectName.of(kind, "");
        return mChanges.tailMap(first).values().stream()
                .takeWhile(versioned -> versioned.name().kind() == kind)
                .map(VersionedChange::change)
                .filter(type::isInstance)
                .map(type::cast);
    }

    /** Returns the number of existing objects of a kind. */
    int count(ObjectKind kind) {
        return mCounts[kind.ordinal()];
    }

    /** Returns the name of the key that has this digest. */
    Optional<ObjectName> keyByDigest(String digest) {
        return Optional.ofNullable(mKeysByDigest.get(digest));
    }

    /**
     * Returns the lowest version from which a delta is complete. Tombstones needed for a delta from
     * a lower version may have been evicted.
     */
    long minDeltaVersion() {
        return mMinDeltaVersion;
    }

    void setMinDeltaVersion(long version) {
        mMinDeltaVersion = version;
    }

    /**
     * Adds an object or tombstone in place of the former one of that name, and updates every index
     * except that of digests.
     */
    void put(VersionedChange versioned) {
        VersionedChange old = mChanges.put(versioned.name(), versioned);
        if (old != null) {
            removeFromIndexes(old);
        }
        mNamesByVersion
                .computeIfAbsent(versioned.version(), v -> new ArrayList<>(1))
                .add(versioned.name());
        if (versioned.isRemoved()) {
            mTombstones.add(versioned);
        } else {
            mCounts[versioned.name().kind().ordinal()]++;
        }
    }

    /**
     * Adds a key to the index of digests. Must be called after all changes of a ticket have been
     * put.
     */
    void indexDigest(VersionedChange versioned) {
        if (versioned.change() instanceof Key key) {
            mKeysByDigest.put(key.digest(), key.objectName());
        }
    }

    private void removeFromIndexes(VersionedChange old) {
        List<ObjectName> names = mNamesByVersion.get(old.version());
        names.remove(old.name());
        if (names.isEmpty()) {
            mNamesByVersion.remove(old.version());
        }
        if (old.isRemoved()) {
            mTombstones.remove(old);
        } else {
            mCounts[old.name().kind().ordinal()]--;
        }
        if (old.change() instanceof Key key) {
            mKeysByDigest.remove(key.digest(), key.objectName());
        }
    }

    /**
     * Evicts tombstones beyond the capacity, those of the lowest ticket numbers first.
     *
     * @return the highest ticket number evicted, or 0 if none was
     */
    long evictTombstones() {
        long highest = 0;
        while (mTombstones.size() > mMaxTombstones) {
            VersionedChange lowest = mTombstones.first();
            mChanges.remove(lowest.name());
            removeFromIndexes(lowest);
            mMinDeltaVersion = Math.max(mMinDeltaVersion, lowest.version());
            highest = lowest.ticket();
        }
        return highest;
    }

    /** Returns the current state of every object changed after {@code version}. */
    List<ConfigChange> changedSince(long version) {
        return mNamesByVersion.tailMap(version, false).values().stream()
                .flatMap(List::stream)
                .map(name -> mChanges.get(name).change())
                .toList();
    }

    /** Returns all existing objects. */
    List<ConfigChange> existingObjects() {
        return versionedChanges()
                .filter(versioned -> !versioned.isRemoved())
                .map(VersionedChange::change)
                .toList();
    }
}
