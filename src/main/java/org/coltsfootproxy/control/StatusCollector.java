package org.coltsfootproxy.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.config.ConfigPublisher;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.JsonAnswer;
import org.coltsfootproxy.node.Node;

/** Answers status calls with the state of the fleet, collected from all control hosts. */
final class StatusCollector {
    private static final long RESPONSE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Maximum number of pending calls; further ones are answered with this host's state only. */
    private static final int MAX_PENDING = 64;

    private static final int OK = 200;

    private final HostId mSelf;
    private final List<HostId> mOtherHosts;
    private final List<RaftGroup> mGroups;
    private final ConfigStateMachine mMachine;
    private final ConfigPublisher mPublisher;
    private final BacklogTracker mBacklogs;
    private final Map<Long, PendingStatus> mPending = new HashMap<>();
    private long mLastId;

    private static final class PendingStatus {
        private final long mCall;
        private final long mDeadlineNanos;
        private final Set<HostId> mAwaitedHosts;
        private final List<OperatorResponses.Subscriber> mSubscribers = new ArrayList<>();
        private final List<ConfigMessage.BacklogState> mBacklogStates = new ArrayList<>();

        PendingStatus(long call, long deadlineNanos, List<HostId> queriedHosts) {
            mCall = call;
            mDeadlineNanos = deadlineNanos;
            mAwaitedHosts = new HashSet<>(queriedHosts);
        }
    }

    StatusCollector(
            HostId self,
            List<HostId> otherHosts,
            List<RaftGroup> groups,
            ConfigStateMachine machine,
            ConfigPublisher publisher,
            BacklogTracker backlogs,
            long firstId) {
        mSelf = self;
        mOtherHosts = otherHosts;
        mGroups = groups;
        mMachine = machine;
        mPublisher = publisher;
        mBacklogs = backlogs;
        mLastId = firstId;
    }

    /** Answers a call once all control hosts have responded, or after the response timeout. */
    void collect(long call, long nowNanos, Effects out) {
        mLastId++;
        List<HostId> queriedHosts = mPending.size() < MAX_PENDING ? mOtherHosts : List.of();
        var pending = new PendingStatus(call, nowNanos + RESPONSE_TIMEOUT_NANOS, queriedHosts);
        mPublisher.subscribers(nowNanos).forEach(s -> add(pending, mSelf, s));
        mBacklogs.backlogs().forEach(pending.mBacklogStates::add);
        mPending.put(mLastId, pending);
        queriedHosts.forEach(host -> out.send(host, new ConfigMessage.StatusQuery(mLastId)));
        finishIfComplete(mLastId, nowNanos, out);
    }

    private static void add(
            PendingStatus pending, HostId control, ConfigMessage.SubscriberState subscriber) {
        pending.mSubscribers.add(
                new OperatorResponses.Subscriber(
                        subscriber.host().value(),
                        subscriber.version(),
                        subscriber.ageMillis(),
                        control.value()));
    }

    /** Sends this host's state to another control host. */
    void handle(HostId from, ConfigMessage.StatusQuery query, long nowNanos, Effects out) {
        out.send(
                from,
                new ConfigMessage.StatusAnswer(
                        query.id(),
                        mMachine.config().version(),
                        mPublisher.subscribers(nowNanos).toList(),
                        mBacklogs.backlogs().toList()));
    }

    /** Handles the state that another control host sent. */
    void handle(HostId from, ConfigMessage.StatusAnswer answer, long nowNanos, Effects out) {
        PendingStatus pending = mPending.get(answer.id());
        if (pending != null && pending.mAwaitedHosts.remove(from)) {
            answer.subscribers().forEach(s -> add(pending, from, s));
            pending.mBacklogStates.addAll(answer.backlogs());
            finishIfComplete(answer.id(), nowNanos, out);
        }
    }

    private void finishIfComplete(long id, long nowNanos, Effects out) {
        if (mPending.get(id).mAwaitedHosts.isEmpty()) {
            finish(mPending.remove(id), nowNanos, out);
        }
    }

    /** Answers the calls whose response timeout has passed, without the silent hosts. */
    void tick(long nowNanos, Effects out) {
        List<Map.Entry<Long, PendingStatus>> due =
                mPending.entrySet().stream()
                        .filter(e -> nowNanos - e.getValue().mDeadlineNanos >= 0)
                        .toList();
        due.forEach(
                e -> {
                    mPending.remove(e.getKey());
                    finish(e.getValue(), nowNanos, out);
                });
    }

    /** Returns the time of the next due tick, or {@link Node#NEVER}. */
    long nextTickNanos() {
        return mPending.values().stream().mapToLong(p -> p.mDeadlineNanos).min().orElse(Node.NEVER);
    }

    private void finish(PendingStatus pending, long nowNanos, Effects out) {
        List<OperatorResponses.Subscriber> subscribers = latest(pending.mSubscribers);
        long version = mMachine.config().version();
        var status =
                new OperatorResponses.Status(
                        mSelf.value(),
                        version,
                        subscribers.stream()
                                .mapToLong(OperatorResponses.Subscriber::version)
                                .min()
                                .orElse(version),
                        mGroups.stream()
                                .map(g -> OperatorResponses.GroupStatus.of(g.status(nowNanos)))
                                .toList(),
                        subscribers,
                        pending.mAwaitedHosts.stream().map(HostId::value).sorted().toList(),
                        mMachine.leases().leases().map(OperatorResponses.LeaseStatus::of).toList(),
                        pending.mBacklogStates,
                        mMachine.config().view().evacuated().stream()
                                .map(DataCentre::value)
                                .sorted()
                                .toList());
        JsonAnswer.send(pending.mCall, OK, status, out);
    }

    /**
     * Returns the latest report on each subscriber. A subscriber that has moved to another control
     * host is reported by both, and the more recent report is the valid one.
     */
    private static List<OperatorResponses.Subscriber> latest(
            List<OperatorResponses.Subscriber> subscribers) {
        Map<String, OperatorResponses.Subscriber> latest = new TreeMap<>();
        subscribers.forEach(
                s -> latest.merge(s.host(), s, (a, b) -> a.ageMillis() <= b.ageMillis() ? a : b));
        return List.copyOf(latest.values());
    }
}
