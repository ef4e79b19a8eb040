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
 * The objects of the configuration with the ticket and version that set each, and what is left of
 * removed ones.
 *
 * <p>Since each object keeps its version, the changes since any version can be told without a log
 * of changes, after a restart too.
 */
final class ObjectTable {
    private final int mMaxRemoved;
    private final TreeMap<ObjectName, Stamp> mStamps = new TreeMap<>();
    private final TreeMap<Long, List<ObjectName>> mByVersion = new TreeMap<>();
    private final TreeSet<Stamp> mRemoved =
            new TreeSet<>(Comparator.comparingLong(Stamp::ticket).thenComparing(Stamp::name));
    private final Map<String, ObjectName> mKeysByDigest = new HashMap<>();
    private final int[] mCounts = new int[ObjectKind.values().length];
    private long mDeltaFloor;

    /**
     * An object's state with its origin.
     *
     * @param change the object, or its removal
     * @param ticket number of the ticket that set it
     * @param version version that the ticket made
     */
    record Stamp(ConfigChange change, long ticket, long version) {
        ObjectName name() {
            return change.objectName();
        }

        boolean isRemoved() {
            return change instanceof Removed;
        }
    }

    ObjectTable(int maxRemoved) {
        mMaxRemoved = maxRemoved;
    }

    /** Returns what is known of a name: the object or its removal. */
    Optional<Stamp> stamp(ObjectName name) {
        return Optional.ofNullable(mStamps.get(name));
    }

    /** Returns everything, by name. */
    Stream<Stamp> stamps() {
        return mStamps.values().stream();
    }

    /** Returns the objects of a kind that exist, by name. */
    <T extends ConfigObject> Stream<T> objects(ObjectKind kind, Class<T> type) {
        ObjectName first = ObjectName.of(kind, "");
        return mStamps.tailMap(first).values().stream()
                .takeWhile(stamp -> stamp.name().kind() == kind)
                .map(Stamp::change)
                .filter(type::isInstance)
                .map(type::cast);
    }

    /** Returns how many objects of a kind exist. */
    int count(ObjectKind kind) {
        return mCounts[kind.ordinal()];
    }

    /** Returns the key that has this digest. */
    Optional<ObjectName> keyOfDigest(String digest) {
        return Optional.ofNullable(mKeysByDigest.get(digest));
    }

    /** Returns the version before which removals may have been forgotten. */
    long deltaFloor() {
        return mDeltaFloor;
    }

    void setDeltaFloor(long version) {
        mDeltaFloor = version;
    }

    /** Sets an object's state; puts the name of the version in order. */
    void put(Stamp stamp) {
        Stamp old = mStamps.put(stamp.name(), stamp);
        if (old != null) {
            forget(old);
        }
        mByVersion.computeIfAbsent(stamp.version(), v -> new ArrayList<>(1)).add(stamp.name());
        if (stamp.isRemoved()) {
            mRemoved.add(stamp);
        } else {
            mCounts[stamp.name().kind().ordinal()]++;
        }
    }

    /** Brings the index of digests in line with a key that was put; call after all puts. */
    void indexDigest(Stamp stamp) {
        if (stamp.change() instanceof Key key) {
            mKeysByDigest.put(key.digest(), key.objectName());
        }
    }

    private void forget(Stamp old) {
        List<ObjectName> names = mByVersion.get(old.version());
        names.remove(old.name());
        if (names.isEmpty()) {
            mByVersion.remove(old.version());
        }
        if (old.isRemoved()) {
            mRemoved.remove(old);
        } else {
            mCounts[old.name().kind().ordinal()]--;
        }
        if (old.change() instanceof Key key) {
            mKeysByDigest.remove(key.digest(), key.objectName());
        }
    }

    /**
     * Forgets removals beyond the bound, those of the lowest tickets first.
     *
     * @return highest ticket number that was forgotten, or 0
     */
    long trimRemoved() {
        long highest = 0;
        while (mRemoved.size() > mMaxRemoved) {
            Stamp lowest = mRemoved.first();
            mStamps.remove(lowest.name());
            forget(lowest);
            mDeltaFloor = Math.max(mDeltaFloor, lowest.version());
            highest = lowest.ticket();
        }
        return highest;
    }

    /** Returns the present state of everything that was changed after {@code version}. */
    List<ConfigChange> changedSince(long version) {
        return mByVersion.tailMap(version, false).values().stream()
                .flatMap(List::stream)
                .map(name -> mStamps.get(name).change())
                .toList();
    }

    /** Returns all objects that exist. */
    List<ConfigChange> all() {
        return stamps().filter(stamp -> !stamp.isRemoved()).map(Stamp::change).toList();
    }
}
