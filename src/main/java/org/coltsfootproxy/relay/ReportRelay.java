package org.coltsfootproxy.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.LogField;
import org.coltsfootproxy.node.Node;

/**
 * Passes reports between this host and all other hosts that call targets, and relays those of its
 * group if it is the group's relay.
 *
 * <p>A report travels from its origin to the relay of the origin's group, to the relays of the
 * other groups, and to the hosts of each group; each step is delayed by at most one batch interval.
 * Duplicates are dropped by the number of a report, so hosts that disagree about a relay only cause
 * extra messages.
 *
 * <p>A relay sends something to each host that it serves at least every {@link
 * #HEARTBEAT_INTERVAL_NANOS}. A host that hears nothing for {@link #RELAY_TIMEOUT_NANOS} uses the
 * next host of the group, at last itself. Nothing waits for a relay: while one is being replaced,
 * the reports in force are only older.
 */
public final class ReportRelay {
    /** Shortest interval between two messages to the same host. */
    public static final long BATCH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Longest interval between two messages to a host that is served. */
    static final long HEARTBEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Silence after which a relay is replaced: two heartbeats and their delivery. */
    static final long RELAY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /** Time for the first contact to this group's relay, which may have just started. */
    static final long FIRST_CONTACT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Delay of a tick from which on this host itself counts as paused. What others sent meanwhile
     * may still wait to be read.
     */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** How long a relay that was silent is not used again, unless it is heard. */
    private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Silence after which a host is no longer served here. */
    private static final long SERVED_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /**
     * Longest silence before the loss of a connection that still shows the end of the peer's
     * process. A silent peer is pinged for a second before its connection is closed.
     */
    private static final long END_DETECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /** Number of hosts above which the reports of hosts that have left are forgotten. */
    private static final int MAX_ORIGINS = 10_000;

    private final HostId mSelf;
    private final Listener mListener;
    private final Map<HostId, Origin> mOrigins = new HashMap<>();
    private final Map<HostId, Long> mHeardAt = new HashMap<>();
    private final Map<HostId, Long> mSuspectedAt = new HashMap<>();

    /** When this host began to use a relay without interruption. */
    private final Map<HostId, Long> mUsedSince = new HashMap<>();

    private final Outbox mForMembers = new Outbox();
    private final Outbox mForRelays = new Outbox();
    private RelayGroups mGroups = RelayGroups.empty();
    private HostId mRelay;
    private long mFlushedAt;
    private long mNextHeartbeat;
    private boolean mHasReports;

    /** When the first report that waits arrived. */
    private long mReportsSince;

    /** Receives the reports of other hosts. */
    public interface Listener {
        /** Handles a report that was not received before. */
        void reported(FleetMessage.HostReport report, long nowNanos, Effects out);

        /** Handles the end of another host's process. */
        void ended(HostId host, long nowNanos);

        /** Called when earlier reports of this host may not have reached all hosts. */
        void reportsLost(long nowNanos);
    }

    /** The newest report that is known of a host. */
    private static final class Origin {
        private long mEpoch;
        private long mPreviousEpoch;
        private long mSequence = -1;
    }

    /** Reports that wait for the next batch, and when each receiver got the last one. */
    private static final class Outbox {
        private final List<FleetMessage.HostReport> mReports = new ArrayList<>();
        private final Set<HostId> mEnded = new LinkedHashSet<>();
        private final Map<HostId, Long> mSentAt = new HashMap<>();

        boolean isEmpty() {
            return mReports.isEmpty() && mEnded.isEmpty();
        }

        /** Sends what waits, or a heartbeat to those for which one is due. */
        void flush(Collection<HostId> receivers, long nowNanos, Effects out) {
            mSentAt.keySet().retainAll(receivers);
            var message = new FleetMessage.Reports(mReports, List.copyOf(mEnded));
            for (HostId receiver : receivers) {
                if (!isEmpty() || isHeartbeatDue(receiver, nowNanos)) {
                    mSentAt.put(receiver, nowNanos);
                    out.send(receiver, message);
                }
            }
            mReports.clear();
            mEnded.clear();
        }

        private boolean isHeartbeatDue(HostId receiver, long nowNanos) {
            Long sentAt = mSentAt.get(receiver);
            return sentAt == null || nowNanos - sentAt >= HEARTBEAT_INTERVAL_NANOS;
        }

        /** Returns when the next heartbeat to one of the last receivers is due. */
        long nextHeartbeatNanos() {
            return mSentAt.values().stream()
                    .mapToLong(sentAt -> sentAt + HEARTBEAT_INTERVAL_NANOS)
                    .min()
                    .orElse(Node.NEVER);
        }
    }

    private ReportRelay(HostId self, Listener listener) {
        mSelf = checkNotNull(self, "self");
        mListener = checkNotNull(listener, "listener");
        mRelay = self;
    }

    /** Returns an instance for a host that knows no other host yet. */
    public static ReportRelay create(HostId self, Listener listener) {
        return new ReportRelay(self, listener);
    }

    /** Replaces the division of the hosts that call targets. */
    public void groups(RelayGroups groups, long nowNanos, Effects out) {
        mGroups = checkNotNull(groups, "groups");
        if (mOrigins.size() > MAX_ORIGINS) {
            mOrigins.keySet().removeIf(host -> !groups.contains(host));
        }
        mHeardAt.keySet().removeIf(host -> !groups.contains(host));
        mSuspectedAt.keySet().removeIf(host -> !groups.contains(host));
        updateRelay(nowNanos, out);
        flush(nowNanos, out);
    }

    /** Passes a report of this host to all others, within a batch interval. */
    public void publish(FleetMessage.HostReport report, long nowNanos) {
        if (isAlone()) {
            return;
        }
        noteReports(nowNanos);
        mForMembers.mReports.add(report);
        mForRelays.mReports.add(report);
    }

    /** Handles another host's message. */
    public void handle(HostId from, FleetMessage.Reports message, long nowNanos, Effects out) {
        mHeardAt.put(from, nowNanos);
        mSuspectedAt.remove(from);
        message.reports().stream()
                .filter(this::isNew)
                .forEach(
                        report -> {
                            forward(from, report, nowNanos);
                            mListener.reported(report, nowNanos, out);
                        });
        message.ended().forEach(host -> end(from, host, nowNanos));
    }

    /** Returns whether a report was not received before, and remembers it. */
    private boolean isNew(FleetMessage.HostReport report) {
        if (report.origin().equals(mSelf)) {
            return false;
        }
        Origin origin = mOrigins.computeIfAbsent(report.origin(), host -> new Origin());
        if (report.epoch() != origin.mEpoch) {
            // A report of the process before may arrive late over another path.
            if (report.epoch() == origin.mPreviousEpoch) {
                return false;
            }
            origin.mPreviousEpoch = origin.mEpoch;
            origin.mEpoch = report.epoch();
            origin.mSequence = -1;
        }
        if (report.sequence() <= origin.mSequence) {
            return false;
        }
        origin.mSequence = report.sequence();
        return true;
    }

    private void noteReports(long nowNanos) {
        if (!mHasReports) {
            mHasReports = true;
            mReportsSince = nowNanos;
        }
    }

    private void forward(HostId from, FleetMessage.HostReport report, long nowNanos) {
        noteReports(nowNanos);
        mForMembers.mReports.add(report);
        if (isForRelays(from, report.origin())) {
            mForRelays.mReports.add(report);
        }
    }

    /**
     * Returns whether what {@code from} sent about {@code origin} goes to other relays. The group's
     * relay passes on what concerns its own group. Another host, which some hosts take for the
     * relay, passes everything to the relay that it uses itself.
     */
    private boolean isForRelays(HostId from, HostId origin) {
        return mRelay.equals(mSelf) ? mGroups.isSameGroup(mSelf, origin) : !from.equals(mRelay);
    }

    private void end(HostId from, HostId host, long nowNanos) {
        if (host.equals(mSelf) || !mOrigins.containsKey(host)) {
            return;
        }
        noteReports(nowNanos);
        mForMembers.mEnded.add(host);
        if (isForRelays(from, host)) {
            mForRelays.mEnded.add(host);
        }
        mListener.ended(host, nowNanos);
    }

    /** Handles the loss of the connection to another host. */
    public void peerLost(HostId host, long nowNanos, Effects out) {
        Long heardAt = mHeardAt.remove(host);
        boolean hasEnded = heardAt != null && nowNanos - heardAt < END_DETECTION_NANOS;
        if (hasEnded) {
            end(mSelf, host, nowNanos);
        }
        if (host.equals(mRelay) || mUsedSince.containsKey(host)) {
            suspect(host, nowNanos);
            updateRelay(nowNanos, out);
            mListener.reportsLost(nowNanos);
        }
    }

    private void suspect(HostId host, long nowNanos) {
        mSuspectedAt.put(host, nowNanos);
        mUsedSince.remove(host);
    }

    /** Replaces silent relays, and sends what is due. */
    public void tick(long nowNanos, Effects out) {
        if (nowNanos - nextTickNanos() < 0) {
            return;
        }
        if (nowNanos - nextTickNanos() >= PAUSE_NANOS) {
            mUsedSince.replaceAll((relay, since) -> nowNanos);
        }
        mSuspectedAt.values().removeIf(at -> nowNanos - at >= SUSPICION_NANOS);
        List<HostId> silent =
                mUsedSince.entrySet().stream()
                        .filter(used -> isSilent(used.getKey(), used.getValue(), nowNanos))
                        .map(Map.Entry::getKey)
                        .toList();
        silent.forEach(relay -> suspect(relay, nowNanos));
        updateRelay(nowNanos, out);
        flush(nowNanos, out);
    }

    private boolean isSilent(HostId relay, long usedSince, long nowNanos) {
        Long heardAt = mHeardAt.get(relay);
        if (heardAt != null) {
            return nowNanos - Math.max(usedSince, heardAt) >= RELAY_TIMEOUT_NANOS;
        }
        boolean isOwnRelay = relay.equals(mRelay);
        return nowNanos - usedSince
                >= (isOwnRelay ? FIRST_CONTACT_TIMEOUT_NANOS : RELAY_TIMEOUT_NANOS);
    }

    private void updateRelay(long nowNanos, Effects out) {
        HostId relay = relayOf(mGroups.groupOf(mSelf));
        if (!relay.equals(mRelay)) {
            out.log(
                    EventCode.RELAY_CHANGED,
                    LogField.of("before", mRelay),
                    LogField.of("relay", relay),
                    LogField.of("silent", mSuspectedAt.keySet().stream().sorted().toList()));
            mRelay = relay;
            mListener.reportsLost(nowNanos);
        }
    }

    /** Returns the first host of a group that is not suspected; the first one if all are. */
    private HostId relayOf(List<HostId> group) {
        return group.stream()
                .filter(host -> !mSuspectedAt.containsKey(host))
                .findFirst()
                .orElseGet(() -> group.get(0));
    }

    private void flush(long nowNanos, Effects out) {
        mFlushedAt = nowNanos;
        mHasReports = false;
        List<HostId> relays = relays(nowNanos);
        mUsedSince.keySet().retainAll(relays);
        relays.forEach(relay -> mUsedSince.putIfAbsent(relay, nowNanos));
        mForRelays.flush(relays, nowNanos, out);
        mForMembers.flush(members(nowNanos), nowNanos, out);
        mNextHeartbeat =
                LongStream.of(
                                mForRelays.nextHeartbeatNanos(),
                                mForMembers.nextHeartbeatNanos(),
                                nowNanos + HEARTBEAT_INTERVAL_NANOS)
                        .min()
                        .getAsLong();
    }

    /**
     * Returns the hosts that pass on this host's reports: the group's relay, or, if this host is
     * the relay, those of the other groups and those hosts of other groups that take it for the
     * relay.
     */
    private List<HostId> relays(long nowNanos) {
        if (!mRelay.equals(mSelf)) {
            return List.of(mRelay);
        }
        Set<HostId> relays = new LinkedHashSet<>();
        mGroups.groups().stream()
                .filter(group -> !group.contains(mSelf))
                .forEach(group -> relays.add(relayOf(group)));
        mHeardAt.forEach(
                (host, heardAt) -> {
                    if (!mGroups.isSameGroup(mSelf, host) && isServed(heardAt, nowNanos)) {
                        relays.add(host);
                    }
                });
        return List.copyOf(relays);
    }

    /** Returns the hosts of this group that use this host as their relay. */
    private List<HostId> members(long nowNanos) {
        return mGroups.groupOf(mSelf).stream()
                .filter(host -> !host.equals(mSelf) && !host.equals(mRelay))
                .filter(host -> mHeardAt.containsKey(host))
                .filter(host -> isServed(mHeardAt.get(host), nowNanos))
                .toList();
    }

    private static boolean isServed(long heardAt, long nowNanos) {
        return nowNanos - heardAt < SERVED_TIMEOUT_NANOS;
    }

    private boolean isAlone() {
        return mGroups.groups().size() <= 1 && mGroups.groupOf(mSelf).size() <= 1;
    }

    /** Returns the time of the next due {@link #tick}, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        if (isAlone()) {
            return Node.NEVER;
        }
        return mHasReports
                ? Math.max(mReportsSince, mFlushedAt + BATCH_INTERVAL_NANOS)
                : mNextHeartbeat;
    }
}
