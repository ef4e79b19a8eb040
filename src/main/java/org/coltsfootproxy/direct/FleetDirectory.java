package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;
import static java.util.function.Function.identity;
import static java.util.stream.Collectors.toMap;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.membership.FleetRoster;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.message.ServiceVersions;
import org.coltsfootproxy.node.Effects;

/**
 * The part of a control host that enrols the other hosts, and reads the list of targets and
 * distributes it.
 *
 * <p>The leader reads the list. Another control host reads it only if it has received no message
 * from a reader for three read intervals. Each change of the list gets a number above all numbers
 * that any host of the fleet has.
 */
public final class FleetDirectory {
    /** Interval between two reads of the list. */
    private static final long READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time without a message from a reader after which another control host reads the list. */
    private static final long READER_TIMEOUT_NANOS = 3 * READ_INTERVAL_NANOS;

    private final HostId mSelf;
    private final FleetRoster mRoster;
    private final Targets mTargets;
    private final TargetListReader mReader;
    private final ListedVersions mVersions;
    private List<HostId> mControls;
    private long mHighestNumber;
    private long mNextRead;
    private long mReaderMessageAt;

    /** When this host or another one was last known to have read the list. */
    private long mListCurrentAt;

    private long mNow;

    private FleetDirectory(
            HostId self,
            List<HostId> controls,
            Targets targets,
            TargetListReader reader,
            ListedVersions versions) {
        mSelf = checkNotNull(self, "self");
        mControls = List.copyOf(controls);
        mRoster = FleetRoster.create(controls);
        mTargets = checkNotNull(targets, "targets");
        mReader = checkNotNull(reader, "reader");
        mVersions = checkNotNull(versions, "versions");
        mReader.listener(this::listRead);
    }

    /**
     * Returns an instance for a control host that has just started.
     *
     * @param controls known control hosts; this one may be among them
     */
    public static FleetDirectory create(
            HostId self,
            List<HostId> controls,
            Targets targets,
            TargetListReader reader,
            ListedVersions versions) {
        return new FleetDirectory(self, controls, targets, reader, versions);
    }

    /** Starts; the first read is due at once, because no other host may have a list yet. */
    public void start(long nowNanos) {
        mNextRead = nowNanos;
        mReaderMessageAt = nowNanos - READER_TIMEOUT_NANOS;
        mListCurrentAt = mReaderMessageAt;
    }

    /** Replaces the known control hosts. */
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
            mHighestNumber = Math.max(mHighestNumber, enrol.known().listing());
            sendListing(from, enrol.known().listing(), out);
            confirmListing(from, enrol.confirmation(), nowNanos, out);
        } else if (message instanceof FleetMessage.Listing listing) {
            readerMessageReceived(listing.number(), nowNanos);
            if (mTargets.update(listing, out)) {
                mVersions.listed(listing.targets());
                sendToHosts(out);
                if (mVersions.isLeader()) {
                    // Another host's list may lack what only the leader knows. Only one host
                    // corrects lists, since two with different memories would do so without end.
                    versionsChanged(out);
                }
            }
        } else if (message instanceof FleetMessage.TargetListRead read) {
            readerMessageReceived(read.number(), nowNanos);
        }
    }

    /**
     * Tells a host that the list which it has been sent is current, if this host leads or has heard
     * from the reader of the platform's list recently. The asking host may have been cut off or
     * suspended for a while without its notice.
     */
    private void confirmListing(HostId host, long confirmation, long nowNanos, Effects out) {
        boolean isCurrent =
                mTargets.listing().number() > 0
                        && (mVersions.isLeader()
                                || nowNanos - mListCurrentAt < READER_TIMEOUT_NANOS);
        if (confirmation != 0 && isCurrent) {
            long number = mTargets.listing().number();
            out.send(host, new FleetMessage.TargetListRead(number, confirmation));
        }
    }

    private void readerMessageReceived(long number, long nowNanos) {
        mHighestNumber = Math.max(mHighestNumber, number);
        mReaderMessageAt = nowNanos;
        mListCurrentAt = nowNanos;
    }

    /** Handles a new connection to another control host, which may have missed a list. */
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
     * Carries out the work that is due.
     *
     * @param isLeader whether this host leads the replicated log of the configuration
     */
    public void tick(boolean isLeader, long nowNanos, Effects out) {
        mNow = nowNanos;
        mRoster.tick(nowNanos, out);
        if (nowNanos - mNextRead < 0) {
            return;
        }
        mNextRead = nowNanos + READ_INTERVAL_NANOS;
        if (isLeader || nowNanos - mReaderMessageAt >= READER_TIMEOUT_NANOS) {
            mReader.read(out);
        }
    }

    private void listRead(List<ListedTarget> read, Effects out) {
        List<ListedTarget> targets = withKnownColdPeriods(read);
        mVersions.listed(targets);
        mListCurrentAt = mNow;
        if (!publish(targets, out)) {
            sendToControls(new FleetMessage.TargetListRead(mTargets.listing().number(), 0), out);
        }
    }

    /** Keeps the cold periods that the list in force shows, since their time runs down. */
    private List<ListedTarget> withKnownColdPeriods(List<ListedTarget> read) {
        Map<TargetId, ListedTarget> known =
                mTargets.listing().targets().stream()
                        .collect(toMap(ListedTarget::id, identity(), (a, b) -> b));
        return read.stream()
                .map(target -> target.continuing(known.getOrDefault(target.id(), target)))
                .toList();
    }

    /** Distributes the target list again if the versions that it has to carry have changed. */
    public void versionsChanged(Effects out) {
        if (mTargets.listing().number() > 0) {
            publish(mTargets.listing().targets(), out);
        }
    }

    /** Distributes a list, and returns whether it differs from the list in force. */
    private boolean publish(List<ListedTarget> targets, Effects out) {
        FleetMessage.Listing known = mTargets.listing();
        List<ServiceVersions> earlier = mVersions.earlier(targets, known);
        boolean isSame =
                targets.equals(known.targets())
                        && earlier.equals(known.earlier())
                        && known.number() >= mHighestNumber;
        if (isSame) {
            return false;
        }
        mHighestNumber = Math.max(mHighestNumber, known.number()) + 1;
        FleetMessage.Listing next = new FleetMessage.Listing(mHighestNumber, targets, earlier);
        mTargets.update(next, out);
        sendToControls(next, out);
        sendToHosts(out);
        return true;
    }

    private void sendToControls(FleetMessage message, Effects out) {
        mControls.stream().filter(c -> !c.equals(mSelf)).forEach(c -> out.send(c, message));
    }

    private void sendToHosts(Effects out) {
        Stream.concat(mRoster.entries(), mRoster.stores())
                .forEach(host -> out.send(host, mTargets.listing()));
    }

    /** Returns the time of the next due {@link #tick}. */
    public long nextTickNanos() {
        return Math.min(mNextRead, mRoster.nextTickNanos());
    }
}
