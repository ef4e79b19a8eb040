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

/**
 * A simulated fleet of control hosts with disks, subscribers, and operators that call over HTTP.
 */
final class ControlFleet {
    static final String OPERATOR_KEY = "operators";

    private final VirtualFleet mSimulation;
    private final List<ControlHost> mHosts;
    private final Map<Long, Response> mResponses = new HashMap<>();
    private final Map<HostId, ControlNode> mNodes = new HashMap<>();
    private final Map<HostId, Integer> mStartCounts = new HashMap<>();
    private final Map<HostId, Integer> mLostWrites = new HashMap<>();
    private final List<Subscriber> mSubscribers = new ArrayList<>();
    private long mLastCall;

    /** The HTTP response that an operator has received so far. */
    static final class Response {
        int mStatus;
        boolean mIsComplete;
        private final StringBuilder mBody = new StringBuilder();

        String body() {
            return mBody.toString();
        }
    }

    ControlFleet(int controls, int subscribers, long seed) {
        mSimulation = new VirtualFleet(seed, this::recordResponse);
        mHosts =
                IntStream.range(0, controls)
                        .mapToObj(
                                n -> ControlHost.of(host(n), dataCentre(n), "10.0.0." + n + ":70"))
                        .toList();
        mHosts.forEach(h -> start(h.host()));
        IntStream.range(0, subscribers).forEach(this::startSubscriber);
    }

    static HostId host(int number) {
        return HostId.of("control-" + number);
    }

    private static DataCentre dataCentre(int number) {
        return DataCentre.of("centre-" + number);
    }

    VirtualFleet simulation() {
        return mSimulation;
    }

    List<Subscriber> subscribers() {
        return mSubscribers;
    }

    ControlNode node(HostId host) {
        return mNodes.get(host);
    }

    /** Starts a control host from its synced writes. */
    void start(HostId host) {
        var settings =
                ControlSettings.of(
                        host,
                        dataCentre(0),
                        Incarnation.of(1 + mLostWrites.getOrDefault(host, 0)),
                        mHosts,
                        ConfigTiming.DEFAULT,
                        KeyDigest.of(OPERATOR_KEY));
        List<Effect.Persist> stored = mSimulation.syncedWrites(host);
        List<Effect.Persist> kept =
                stored.subList(mLostWrites.getOrDefault(host, 0), stored.size());
        int startCount = mStartCounts.merge(host, 1, Integer::sum);
        ControlNode node =
                ControlNode.create(
                        settings,
                        List.of(StoredWrites.recovered(0, kept), StoredWrites.recovered(1, kept)),
                        EpochClock.of(0, 0),
                        new Random(host.hashCode() + startCount));
        mNodes.put(host, node);
        mSimulation.start(host, Incarnation.of(startCount), node);
    }

    /** Loses the disk content of a crashed host. */
    void loseDisk(HostId host) {
        mLostWrites.put(host, mSimulation.syncedWrites(host).size());
    }

    private void startSubscriber(int number) {
        HostId host = HostId.of("subscriber-" + number);
        var subscriber =
                new Subscriber(
                        ConfigSubscriber.create(
                                dataCentre(number % mHosts.size()),
                                mHosts,
                                ConfigTiming.DEFAULT,
                                new Random(number)));
        mSubscribers.add(subscriber);
        mSimulation.start(host, Incarnation.of(1), subscriber);
    }

    private void recordResponse(HostId host, Effect effect, long nowNanos) {
        if (effect instanceof Effect.HttpHead head) {
            mResponses.get(head.call()).mStatus = head.status();
        } else if (effect instanceof Effect.HttpChunk chunk) {
            String text = new String(chunk.bytes(), StandardCharsets.UTF_8);
            mResponses.get(chunk.call()).mBody.append(text);
        } else if (effect instanceof Effect.HttpEnd end) {
            mResponses.get(end.call()).mIsComplete = true;
        }
    }

    /** Calls a control host with the operators' key. */
    Response call(HostId host, String method, String path, String body) {
        return call(host, method, path, body, OPERATOR_KEY);
    }

    Response call(HostId host, String method, String path, String body, String key) {
        long call = ++mLastCall;
        Response response = new Response();
        mResponses.put(call, response);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        List<Header> headers = List.of(Header.of("authorization", "Bearer " + key));
        mSimulation.deliver(host, new Input.HttpCall(call, method, path, headers, bytes));
        return response;
    }

    static String ticket(long number, String organisation, int rate) {
        return "ticket: %d\norganisations: [{id: %s, ratePerSecond: %d, burst: 1}]"
                .formatted(number, organisation, rate);
    }

    Response apply(HostId host, long number, String organisation, int rate) {
        return call(host, "POST", "/v1/tickets", ticket(number, organisation, rate));
    }

    /** Returns the host that currently leads the configuration log, if any. */
    Optional<HostId> leader() {
        return mHosts.stream()
                .map(ControlHost::host)
                .filter(mSimulation.hosts()::contains)
                .filter(h -> mNodes.get(h).isLeader(0, mSimulation.now()))
                .findFirst();
    }

    /** Runs the simulation until a host leads the configuration log, for at most 20 s. */
    HostId awaitLeader() {
        for (int i = 0; i < 200 && leader().isEmpty(); i++) {
            mSimulation.run(100_000_000);
        }
        return leader().orElseThrow();
    }

    /** A node that only subscribes to the configuration, as entries and agents do. */
    static final class Subscriber implements Node {
        private final ConfigSubscriber mConfig;
        private long mHighestVersion;
        private long mChangedNanos;

        Subscriber(ConfigSubscriber config) {
            mConfig = config;
        }

        /** Returns the time at which the version in force arrived. */
        long changedNanos() {
            return mChangedNanos;
        }

        ConfigSubscriber config() {
            return mConfig;
        }

        @Override
        public void start(long nowNanos, Effects out) {
            mConfig.start(nowNanos, out);
        }

        @Override
        public void handle(Input input, long nowNanos, Effects out) {
            if (input instanceof Input.FromPeer peer) {
                ConfigMessage message = (ConfigMessage) peer.message();
                mConfig.handle(peer.from(), message, nowNanos, out);
            } else if (input instanceof Input.PeerLost lost) {
                mConfig.peerLost(lost.host(), nowNanos, out);
            }
            long version = mConfig.view().version();
            if (version < mHighestVersion) {
                throw new AssertionError(
                        "version went back to " + version + " from " + mHighestVersion);
            }
            mChangedNanos = version > mHighestVersion ? nowNanos : mChangedNanos;
            mHighestVersion = version;
        }

        @Override
        public void tick(long nowNanos, Effects out) {
            mConfig.tick(nowNanos, out);
        }

        @Override
        public long nextTickNanos() {
            return mConfig.nextTickNanos();
        }

        @Override
        public boolean isDrained() {
            return true;
        }
    }
}
