package org.coltsfootproxy.control;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;
import org.coltsfootproxy.consensus.StateMachine;

/** What the fleet has agreed on for good: who began the log of the jobs, and who is to leave. */
final class FleetState implements StateMachine {
    private static final byte[] NOTHING = new byte[0];

    private List<Member> mFounders = List.of();
    private final Set<HostId> mRetiring = new TreeSet<>();

    /** The state as snapshots hold it. */
    sealed interface Image {
        RecordCodec<Image> CODEC = RecordCodec.of(Image.class);

        /** The whole state. */
        @WireCode(1)
        record Whole(List<Member> founders, List<HostId> retiring) implements Image {}
    }

    /** Returns the members with which the log of the jobs began; empty before that. */
    List<Member> founders() {
        return mFounders;
    }

    /** Returns the hosts that are being emptied or have been. */
    Set<HostId> retiring() {
        return Set.copyOf(mRetiring);
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        try {
            apply(FleetCommand.CODEC.decode(command));
        } catch (ProxyException e) {
            throw new IllegalStateException("the fleet's own command is malformed", e);
        }
        return NOTHING;
    }

    private void apply(FleetCommand command) {
        if (command instanceof FleetCommand.FoundJobs found && mFounders.isEmpty()) {
            mFounders = List.copyOf(found.members());
        } else if (command instanceof FleetCommand.Retire retire) {
            mRetiring.add(retire.host());
        }
    }

    @Override
    public byte[] snapshot() {
        return Image.CODEC.encode(new Image.Whole(mFounders, List.copyOf(mRetiring)));
    }

    @Override
    public void restore(byte[] snapshot) {
        try {
            var image = (Image.Whole) Image.CODEC.decode(snapshot);
            mFounders = List.copyOf(image.founders());
            mRetiring.clear();
            mRetiring.addAll(image.retiring());
        } catch (ProxyException e) {
            throw new IllegalArgumentException("snapshot of the fleet is damaged", e);
        }
    }
}
