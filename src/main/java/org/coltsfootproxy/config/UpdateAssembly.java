package org.coltsfootproxy.config;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.ConfigMessage;

/** Puts the parts of one update together, whatever order they come in. */
final class UpdateAssembly {
    /** Most parts that an update may have. */
    static final int MAX_PARTS = 8192;

    private final HostId mFrom;
    private final ConfigMessage.Update mFirst;
    private final ConfigMessage.Update[] mParts;

    private UpdateAssembly(HostId from, ConfigMessage.Update first) {
        mFrom = from;
        mFirst = first;
        mParts = new ConfigMessage.Update[first.parts()];
    }

    /** Returns the assembly that goes on with {@code part}: {@code old} if it belongs to it. */
    static UpdateAssembly with(UpdateAssembly old, HostId from, ConfigMessage.Update part) {
        UpdateAssembly assembly =
                old != null && old.fits(from, part) ? old : new UpdateAssembly(from, part);
        assembly.mParts[part.part()] = part;
        return assembly;
    }

    /** Tells whether a part's numbers can be true. */
    static boolean isValid(ConfigMessage.Update part) {
        return part.parts() > 0
                && part.parts() <= MAX_PARTS
                && part.part() >= 0
                && part.part() < part.parts()
                && part.from() >= 0
                && part.to() > part.from()
                && part.changes() != null;
    }

    private boolean fits(HostId from, ConfigMessage.Update part) {
        return mFrom.equals(from)
                && mFirst.from() == part.from()
                && mFirst.to() == part.to()
                && mFirst.parts() == part.parts();
    }

    /** Returns the encoded changes in their order, once all parts are there. */
    Optional<List<byte[]>> changes() {
        boolean isWhole = Arrays.stream(mParts).allMatch(Objects::nonNull);
        return isWhole
                ? Optional.of(Stream.of(mParts).flatMap(p -> p.changes().stream()).toList())
                : Optional.empty();
    }
}
