package org.coltsfootproxy.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.config.ControlHost;
import org.coltsfootproxy.limit.OwnerLease;
import org.coltsfootproxy.limit.Shards;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.message.OwnerMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link LimitOwnership} with several entries and a control host. */
public final class LimitOwnershipTest {
    private static final DataCentre SOLWAY = DataCentre.of("solway");
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final List<ControlHost> ENTRIES =
            List.of(
                    ControlHost.of(HostId.of("entry-a"), SOLWAY, "127.0.0.1:7101"),
                    ControlHost.of(HostId.of("entry-b"), SOLWAY, "127.0.0.1:7102"),
                    ControlHost.of(HostId.of("entry-c"), SOLWAY, "127.0.0.1:7103"));

    /** An entry host that consists only of its {@link LimitOwnership}. */
    private static final class OwnershipNode implements Node {
        private final LimitOwnership mOwnership;
        private boolean mStopped;

        OwnershipNode(LimitOwnership ownership) {
            mOwnership = ownership;
        }

        @Override
        public void start(long nowNanos, Effects out) {
            mOwnership.start(nowNanos, out);
            ENTRIES.forEach(e -> out.send(e.host(), new OwnerMessage.Owns(List.of())));
        }

        @Override
        public void handle(Input input, long nowNanos, Effects out) {
            if (input instanceof Input.PeerUp up) {
                mOwnership.peerUp(up.host(), nowNanos, out);
            } else if (input instanceof Input.PeerLost lost) {
                mOwnership.peerLost(lost.host(), nowNanos, out);
            } else if (input instanceof Input.PlannedStop) {
                mStopped = true;
                mOwnership.stop(nowNanos, out);
            } else if (input instanceof Input.FromPeer peer) {
                fromPeer(peer, nowNanos, out);
            }
        }

        private void fromPeer(Input.FromPeer peer, long now, Effects out) {
            if (peer.message() instanceof ConfigMessage message) {
                mOwnership.handle(peer.from(), message, now, out);
            } else if (peer.message() instanceof OwnerMessage message) {
                mOwnership.handle(peer.from(), message);
            }
        }

        @Override
        public void tick(long nowNanos, Effects out) {
            mOwnership.tick(nowNanos, out);
        }

        @Override
        public long nextTickNanos() {
            return mOwnership.nextTickNanos();
        }

        @Override
        public boolean isDrained() {
            return mStopped;
        }
    }

    private final Map<HostId, LimitOwnership> mOwnerships = new HashMap<>();
    private int mStartCount;

    private OnlineHarness startEntries(long seed) {
        OnlineHarness harness = new OnlineHarness(seed);
        // The entry of the harness holds the leases until they expire.
        harness.fleet().crash(OnlineHarness.ENTRY);
        ENTRIES.forEach(entry -> startEntry(harness, entry.host()));
        return harness;
    }

    private void startEntry(OnlineHarness harness, HostId host) {
        Incarnation incarnation = Incarnation.of(1_000 + ++mStartCount);
        LimitOwnership ownership =
                LimitOwnership.create(
                        host,
                        incarnation,
                        ENTRIES,
                        List.of(OnlineHarness.CONTROL),
                        new Random(harness.fleet().random().nextLong()));
        mOwnerships.put(host, ownership);
        harness.fleet().start(host, incarnation, new OwnershipNode(ownership));
    }

    /** Advances time and checks at every step that no shard has two holders. */
    private void runChecked(OnlineHarness harness, long nanos) {
        for (long passed = 0; passed < nanos; passed += STEP_NANOS) {
            harness.fleet().run(STEP_NANOS);
            long now = harness.fleet().now();
            IntStream.range(0, Shards.COUNT)
                    .forEach(s -> assertTrue(holders(s, now) <= 1, "holders of shard " + s));
        }
    }

    private long holders(int shard, long now) {
        return mOwnerships.values().stream().filter(o -> o.held(shard, now).isPresent()).count();
    }

    private void checkEachShardHasOneKnownOwner(OnlineHarness harness) {
        long now = harness.fleet().now();
        for (int shard = 0; shard < Shards.COUNT; shard++) {
            assertEquals(holders(shard, now), 1, "holders of shard " + shard);
            int number = shard;
            long owners =
                    mOwnerships.values().stream()
                            .map(o -> o.owner(number).map(OwnerLease.Owner::fencing))
                            .distinct()
                            .count();
            assertEquals(owners, 1, "owners of shard " + shard + " that entries know");
        }
    }

    @DataProvider
    Object[][] seeds() {
        return IntStream.range(0, 8).mapToObj(i -> new Object[] {i}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void everyShardHasOneHolderThatAllEntriesKnow(int seed) {
        mOwnerships.clear();
        OnlineHarness harness = startEntries(seed);

        runChecked(harness, SETTLE_NANOS);

        checkEachShardHasOneKnownOwner(harness);
    }

    @Test(dataProvider = "seeds")
    public void shardsOfCrashedPartitionedOrStoppingEntriesMoveWithoutASecondHolder(int seed) {
        mOwnerships.clear();
        OnlineHarness harness = startEntries(seed);
        runChecked(harness, SETTLE_NANOS);
        HostId host = ENTRIES.get(seed % ENTRIES.size()).host();
        if (seed % 4 == 0) {
            harness.fleet().crash(host);
            mOwnerships.remove(host);
        } else if (seed % 4 == 1) {
            harness.fleet().deliver(host, new Input.PlannedStop());
            runChecked(harness, SETTLE_NANOS);
            harness.fleet().crash(host);
            mOwnerships.remove(host);
        } else if (seed % 4 == 2) {
            harness.fleet().crash(host);
            startEntry(harness, host);
        } else {
            harness.fleet().partition(host, OnlineHarness.CONTROL);
            runChecked(harness, SETTLE_NANOS);
            harness.fleet().heal(host, OnlineHarness.CONTROL);
        }
        runChecked(harness, 2 * SETTLE_NANOS);

        checkEachShardHasOneKnownOwner(harness);
    }
}
