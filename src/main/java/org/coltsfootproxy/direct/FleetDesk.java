package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.membership.FleetRoster;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.node.Effects;

/**
 * A control host's part in a fleet that changes: it enrols the other hosts, and reads the list of
 * targets and passes it on.
 *
 * <p>One control host reads the list, the one that leads; another one goes on if it is not heard.
 * Each change of the list gets a number above all that any host of the fleet has.
 */
public final class FleetDesk {
    /** Time between two readings of the list. */
    private static final long READ_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Silence of the reader after which another control host reads: three readings. */
    private static final long READER_LOST_NANOS = 3 * READ_NANOS;

    private final HostId mSelf;
    private final FleetRoster mRoster;
    private final Targets mTargets;
    private final ListReader mReader;
    private List<HostId> mControls;
    private long mHighest;
    private long mNextRead;
    private long mHeardReader;

    private FleetDesk(HostId self, List<HostId> controls, Targets targets, ListReader reader) {
        mSelf = checkNotNull(self, "self");
        mControls = List.copyOf(controls);
        mRoster = FleetRoster.create(controls);
        mTargets = checkNotNull(targets, "targets");
        mReader = checkNotNull(reader, "reader");
        mReader.listener(this::listed);
    }

    /**
     * Returns the desk of a control host that has just started.
     *
     * @param controls control hosts that are known, this one may be among them
     */
    public static FleetDesk create(
            HostId self, List<HostId> controls, Targets targets, ListReader reader) {
        return new FleetDesk(self, controls, targets, reader);
    }

    /** Begins; the first reading comes at once, as nobody may have one. */
    public void start(long nowNanos) {
        mNextRead = nowNanos;
        mHeardReader = nowNanos - READER_LOST_NANOS;
    }

    /** Replaces the control hosts. */
    public void controls(List<HostId> controls, Effects out) {
        mControls = List.copyOf(controls);
        mRoster.controls(controls, out);
    }

    /** Returns the hosts of the fleet as they are known here. */
    public FleetRoster roster() {
        return mRoster;
    }

    /** Handles a message of another host. */
    public void handle(HostId from, FleetMessage message, long nowNanos, Effects out) {
        if (message instanceof FleetMessage.Enrol enrol) {
            mRoster.handle(from, enrol, nowNanos, out);
            mHighest = Math.max(mHighest, enrol.known().listing());
            sendListing(from, enrol.known().listing(), out);
        } else if (message instanceof FleetMessage.Listing listing) {
            heard(listing.number(), nowNanos);
            if (mTargets.update(listing, out)) {
                tellHosts(out);
            }
        } else if (message instanceof FleetMessage.ListingRead read) {
            heard(read.number(), nowNanos);
        }
    }

    private void heard(long number, long nowNanos) {
        mHighest = Math.max(mHighest, number);
        mHeardReader = nowNanos;
    }

    /** A connection to another control host is ready; it may have missed a list. */
    public void controlUp(HostId control, Effects out) {
        if (mControls.contains(control)) {
            sendListing(control, 0, out);
        }
    }

    private void sendListing(HostId to, long known, Effects out) {
        FleetMessage.Listing listing = mTargets.listing();
        if (listing.number() > known) {
            out.send(to, listing);
        }
    }

    /**
     * Does whatever is due.
     *
     * @param isLeader whether this host leads the log of the configuration
     */
    public void tick(boolean isLeader, long nowNanos, Effects out) {
        mRoster.tick(nowNanos, out);
        if (nowNanos - mNextRead < 0) {
            return;
        }
        mNextRead = nowNanos + READ_NANOS;
        if (isLeader || nowNanos - mHeardReader >= READER_LOST_NANOS) {
            mReader.read(out);
        }
    }

    private void listed(List<ListedTarget> targets, Effects out) {
        FleetMessage.Listing known = mTargets.listing();
        boolean isSame = targets.equals(known.targets()) && known.number() >= mHighest;
        if (isSame) {
            tellControls(new FleetMessage.ListingRead(known.number()), out);
            return;
        }
        mHighest = Math.max(mHighest, known.number()) + 1;
        FleetMessage.Listing next = new FleetMessage.Listing(mHighest, targets);
        mTargets.update(next, out);
        tellControls(next, out);
        tellHosts(out);
    }

    private void tellControls(FleetMessage message, Effects out) {
        mControls.stream().filter(c -> !c.equals(mSelf)).forEach(c -> out.send(c, message));
    }

    private void tellHosts(Effects out) {
        Stream.concat(mRoster.entries(), mRoster.stores())
                .forEach(host -> out.send(host, mTargets.listing()));
    }

    /** Returns the time of the next due {@link #tick}. */
    public long nextTickNanos() {
        return Math.min(mNextRead, mRoster.nextTickNanos());
    }
}
