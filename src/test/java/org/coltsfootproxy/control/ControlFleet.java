package org.coltsfootproxy.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.config.ConfigSubscriber;
import org.coltsfootproxy.config.ConfigTiming;
import org.coltsfootproxy.config.ControlHost;
import org.coltsfootproxy.config.KeyDigest;
import org.coltsfootproxy.consensus.StoredWrites;
import org.coltsfootproxy.job.EpochClock;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;
import org.coltsfootproxy.node.VirtualFleet;

/** Control hosts with disks, subscribers, and operators who call. */
final class ControlFleet {
    static final String KEY = "operators";

    private final VirtualFleet mFleet;
    private final List<ControlHost> mHosts;
    private final Map<Long, Answer> mAnswers = new HashMap<>();
    private final Map<HostId, ControlNode> mNodes = new HashMap<>();
    private final Map<HostId, Integer> mLives = new HashMap<>();
    private final Map<HostId, Integer> mLostWrites = new HashMap<>();
    private final List<Subscriber> mSubscribers = new ArrayList<>();
    private long mLastCall;

    /** What an operator got. */
    static final class Answer {
        int mStatus;
        boolean mIsWhole;
        private final StringBuilder mBody = new StringBuilder();

        String body() {
            return mBody.toString();
        }
    }

    ControlFleet(int controls, int subscribers, long seed) {
        mFleet = new VirtualFleet(seed, this::carryOut);
        mHosts =
                IntStream.range(0, controls)
                        .mapToObj(n -> ControlHost.of(host(n), centre(n), "10.0.0." + n + ":70"))
                        .toList();
        mHosts.forEach(h -> start(h.host()));
        IntStream.range(0, subscribers).forEach(this::startSubscriber);
    }

    static HostId host(int number) {
        return HostId.of("control-" + number);
    }

    private static DataCentre centre(int number) {
        return DataCentre.of("centre-" + number);
    }

    VirtualFleet fleet() {
        return mFleet;
    }

    List<Subscriber> subscribers() {
        return mSubscribers;
    }

    ControlNode node(HostId host) {
        return mNodes.get(host);
    }

    /** Starts a control host from what it has synced. */
    void start(HostId host) {
        var settings =
                ControlSettings.of(
                        host,
                        centre(0),
                        Incarnation.of(1 + mLostWrites.getOrDefault(host, 0)),
                        mHosts,
                        ConfigTiming.DEFAULT,
                        KeyDigest.of(KEY));
        List<Effect.Persist> stored = mFleet.stored(host);
        List<Effect.Persist> kept =
                stored.subList(mLostWrites.getOrDefault(host, 0), stored.size());
        int life = mLives.merge(host, 1, Integer::sum);
        ControlNode node =
                ControlNode.create(
                        settings,
                        List.of(StoredWrites.recovered(0, kept), StoredWrites.recovered(1, kept)),
                        EpochClock.of(0, 0),
                        new Random(host.hashCode() + life));
        mNodes.put(host, node);
        mFleet.start(host, Incarnation.of(life), node);
    }

    /** Loses all that a crashed host had stored. */
    void loseDisk(HostId host) {
        mLostWrites.put(host, mFleet.stored(host).size());
    }

    private void startSubscriber(int number) {
        HostId host = HostId.of("subscriber-" + number);
        var subscriber =
                new Subscriber(
                        ConfigSubscriber.create(
                                centre(number % mHosts.size()),
                                mHosts,
                                ConfigTiming.DEFAULT,
                                new Random(number)));
        mSubscribers.add(subscriber);
        mFleet.start(host, Incarnation.of(1), subscriber);
    }

    private void carryOut(HostId host, Effect effect, long nowNanos) {
        if (effect instanceof Effect.HttpHead head) {
            mAnswers.get(head.call()).mStatus = head.status();
        } else if (effect instanceof Effect.HttpChunk chunk) {
            String text = new String(chunk.bytes(), StandardCharsets.UTF_8);
            mAnswers.get(chunk.call()).mBody.append(text);
        } else if (effect instanceof Effect.HttpEnd end) {
            mAnswers.get(end.call()).mIsWhole = true;
        }
    }

    /** Calls a control host with the operators' key. */
    Answer call(HostId host, String method, String path, String body) {
        return call(host, method, path, body, KEY);
    }

    Answer call(HostId host, String method, String path, String body, String key) {
        long call = ++mLastCall;
        Answer answer = new Answer();
        mAnswers.put(call, answer);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        List<Header> headers = List.of(Header.of("authorization", "Bearer " + key));
        mFleet.deliver(host, new Input.HttpCall(call, method, path, headers, bytes));
        return answer;
    }

    static String ticket(long number, String organisation, int rate) {
        return "ticket: %d\norganisations: [{id: %s, ratePerSecond: %d, burst: 1}]"
                .formatted(number, organisation, rate);
    }

    Answer apply(HostId host, long number, String organisation, int rate) {
        return call(host, "POST", "/v1/tickets", ticket(number, organisation, rate));
    }

    /** Returns the host that leads the configuration's log now. */
    Optional<HostId> leader() {
        return mHosts.stream()
                .map(ControlHost::host)
                .filter(mFleet.hosts()::contains)
                .filter(h -> mNodes.get(h).isLeader(0, mFleet.now()))
                .findFirst();
    }

    /** Lets time pass until a host leads. */
    HostId awaitLeader() {
        for (int i = 0; i < 200 && leader().isEmpty(); i++) {
            mFleet.run(100_000_000);
        }
        return leader().orElseThrow();
    }

    /** An entry or agent reduced to its subscription. */
    static final class Subscriber implements Node {
        private final ConfigSubscriber mDecisions;
        private long mHighest;
        private long mChangedAt;

        Subscriber(ConfigSubscriber decisions) {
            mDecisions = decisions;
        }

        /** Returns when the version in force came. */
        long changedAt() {
            return mChangedAt;
        }

        ConfigSubscriber decisions() {
            return mDecisions;
        }

        @Override
        public void start(long nowNanos, Effects out) {
            mDecisions.start(nowNanos, out);
        }

        @Override
        public void handle(Input input, long nowNanos, Effects out) {
            if (input instanceof Input.FromPeer peer) {
                ConfigMessage message = (ConfigMessage) peer.message();
                mDecisions.handle(peer.from(), message, nowNanos, out);
            } else if (input instanceof Input.PeerLost lost) {
                mDecisions.peerLost(lost.host(), nowNanos, out);
            }
            long version = mDecisions.view().version();
            if (version < mHighest) {
                throw new AssertionError("back to " + version + " from " + mHighest);
            }
            mChangedAt = version > mHighest ? nowNanos : mChangedAt;
            mHighest = version;
        }

        @Override
        public void tick(long nowNanos, Effects out) {
            mDecisions.tick(nowNanos, out);
        }

        @Override
        public long nextTickNanos() {
            return mDecisions.nextTickNanos();
        }

        @Override
        public boolean isDrained() {
            return true;
        }
    }
}
