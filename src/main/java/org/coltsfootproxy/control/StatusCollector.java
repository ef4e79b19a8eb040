package org.coltsfootproxy.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.config.ConfigPublisher;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.JsonAnswer;
import org.coltsfootproxy.node.Node;

/** Answers for the state of the fleet: asks the other control hosts for theirs. */
final class StatusCollector {
    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_OPEN = 64;
    private static final int OK = 200;

    private final HostId mSelf;
    private final List<HostId> mOthers;
    private final List<RaftGroup> mGroups;
    private final ConfigStateMachine mMachine;
    private final ConfigPublisher mPublisher;
    private final BacklogTracker mJobs;
    private final Map<Long, Question> mOpen = new HashMap<>();
    private long mLastId;

    private static final class Question {
        private final long mCall;
        private final long mEndNanos;
        private final Set<HostId> mMissing;
        private final List<OperatorResponses.Subscriber> mSubscribers = new ArrayList<>();
        private final List<ConfigMessage.BacklogState> mBacklogs = new ArrayList<>();

        Question(long call, long endNanos, List<HostId> asked) {
            mCall = call;
            mEndNanos = endNanos;
            mMissing = new HashSet<>(asked);
        }
    }

    StatusCollector(
            HostId self,
            List<HostId> others,
            List<RaftGroup> groups,
            ConfigStateMachine machine,
            ConfigPublisher publisher,
            BacklogTracker jobs,
            long firstId) {
        mSelf = self;
        mOthers = others;
        mGroups = groups;
        mMachine = machine;
        mPublisher = publisher;
        mJobs = jobs;
        mLastId = firstId;
    }

    /** Answers a call, at the latest when the patience with silent hosts is over. */
    void answer(long call, long nowNanos, Effects out) {
        mLastId++;
        List<HostId> asked = mOpen.size() < MAX_OPEN ? mOthers : List.of();
        var question = new Question(call, nowNanos + PATIENCE_NANOS, asked);
        mPublisher.subscribers(nowNanos).forEach(s -> add(question, mSelf, s));
        mJobs.backlogs().forEach(question.mBacklogs::add);
        mOpen.put(mLastId, question);
        asked.forEach(host -> out.send(host, new ConfigMessage.StatusAsk(mLastId)));
        finishIfComplete(mLastId, nowNanos, out);
    }

    private static void add(
            Question question, HostId control, ConfigMessage.SubscriberState subscriber) {
        question.mSubscribers.add(
                new OperatorResponses.Subscriber(
                        subscriber.host().value(),
                        subscriber.version(),
                        subscriber.ageMillis(),
                        control.value()));
    }

    /** Answers another control host. */
    void handle(HostId from, ConfigMessage.StatusAsk ask, long nowNanos, Effects out) {
        out.send(
                from,
                new ConfigMessage.StatusAnswer(
                        ask.id(),
                        mMachine.config().version(),
                        mPublisher.subscribers(nowNanos).toList(),
                        mJobs.backlogs().toList()));
    }

    /** Takes another control host's answer. */
    void handle(HostId from, ConfigMessage.StatusAnswer answer, long nowNanos, Effects out) {
        Question question = mOpen.get(answer.id());
        if (question != null && question.mMissing.remove(from)) {
            answer.subscribers().forEach(s -> add(question, from, s));
            question.mBacklogs.addAll(answer.backlogs());
            finishIfComplete(answer.id(), nowNanos, out);
        }
    }

    private void finishIfComplete(long id, long nowNanos, Effects out) {
        if (mOpen.get(id).mMissing.isEmpty()) {
            finish(mOpen.remove(id), nowNanos, out);
        }
    }

    /** Answers without the hosts that were silent too long. */
    void tick(long nowNanos, Effects out) {
        List<Map.Entry<Long, Question>> due =
                mOpen.entrySet().stream()
                        .filter(e -> nowNanos - e.getValue().mEndNanos >= 0)
                        .toList();
        due.forEach(
                e -> {
                    mOpen.remove(e.getKey());
                    finish(e.getValue(), nowNanos, out);
                });
    }

    /** Returns the time of the next due tick, or {@link Node#NEVER}. */
    long nextTickNanos() {
        return mOpen.values().stream().mapToLong(q -> q.mEndNanos).min().orElse(Node.NEVER);
    }

    private void finish(Question question, long nowNanos, Effects out) {
        List<OperatorResponses.Subscriber> subscribers = latest(question.mSubscribers);
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
                        question.mMissing.stream().map(HostId::value).sorted().toList(),
                        mMachine.leases().leases().map(OperatorResponses.LeaseStatus::of).toList(),
                        question.mBacklogs);
        JsonAnswer.send(question.mCall, OK, status, out);
    }

    /** A subscriber that moved is known to two hosts; the one that heard it last is right. */
    private static List<OperatorResponses.Subscriber> latest(
            List<OperatorResponses.Subscriber> subscribers) {
        Map<String, OperatorResponses.Subscriber> latest = new TreeMap<>();
        subscribers.forEach(
                s -> latest.merge(s.host(), s, (a, b) -> a.ageMillis() <= b.ageMillis() ? a : b));
        return List.copyOf(latest.values());
    }
}
