package org.coltsfootproxy.config;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.ConfigMessage;

/** Reassembles one update from its parts, which may arrive in any order. */
final class UpdateAssembly {
    /** Maximum number of parts of an update. */
    static final int MAX_PARTS = 8192;

    private final HostId mFrom;
    private final ConfigMessage.Update mFirst;
    private final ConfigMessage.Update[] mParts;

    private UpdateAssembly(HostId from, ConfigMessage.Update first) {
        mFrom = from;
        mFirst = first;
        mParts = new ConfigMessage.Update[first.parts()];
    }

    /**
     * Adds a part to {@code old} if it belongs to the same update, or else to a new assembly, and
     * returns that assembly.
     */
    static UpdateAssembly add(UpdateAssembly old, HostId from, ConfigMessage.Update part) {
        UpdateAssembly assembly =
                old != null && old.isForUpdateOf(from, part) ? old : new UpdateAssembly(from, part);
        assembly.mParts[part.part()] = part;
        return assembly;
    }

    /** Returns whether the numbers of a part are valid. */
    static boolean isValid(ConfigMessage.Update part) {
        return part.parts() > 0
                && part.parts() <= MAX_PARTS
                && part.part() >= 0
                && part.part() < part.parts()
                && part.from() >= 0
                && part.to() > part.from()
                && part.changes() != null;
    }

    private boolean isForUpdateOf(HostId from, ConfigMessage.Update part) {
        return mFrom.equals(from)
                && mFirst.from() == part.from()
                && mFirst.to() == part.to()
                && mFirst.parts() == part.parts();
    }

    /** Returns the encoded changes in order, or empty until all parts have arrived. */
    Optional<List<byte[]>> changes() {
        boolean isComplete = Arrays.stream(mParts).allMatch(Objects::nonNull);
        return isComplete
                ? Optional.of(Stream.of(mParts).flatMap(p -> p.changes().stream()).toList())
                : Optional.empty();
    }
}
