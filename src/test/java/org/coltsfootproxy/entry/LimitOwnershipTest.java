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

/** Contract of {@link LimitOwnership} between entries and a control host. */
public final class LimitOwnershipTest {
    private static final DataCentre SOLWAY = DataCentre.of("solway");
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final List<ControlHost> ENTRIES =
            List.of(
                    ControlHost.of(HostId.of("entry-a"), SOLWAY, "127.0.0.1:7101"),
                    ControlHost.of(HostId.of("entry-b"), SOLWAY, "127.0.0.1:7102"),
                    ControlHost.of(HostId.of("entry-c"), SOLWAY, "127.0.0.1:7103"));

    /** An entry of which only the ownership is there. */
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

    private final Map<HostId, LimitOwnership> mOwners = new HashMap<>();
    private int mLives;

    private OnlinePath fleet(long seed) {
        OnlinePath path = new OnlinePath(seed);
        // Its entry holds the leases until they expire.
        path.fleet().crash(OnlinePath.ENTRY);
        ENTRIES.forEach(entry -> startEntry(path, entry.host()));
        return path;
    }

    private void startEntry(OnlinePath path, HostId host) {
        Incarnation life = Incarnation.of(1_000 + ++mLives);
        LimitOwnership ownership =
                LimitOwnership.create(
                        host,
                        life,
                        ENTRIES,
                        List.of(OnlinePath.CONTROL),
                        new Random(path.fleet().random().nextLong()));
        mOwners.put(host, ownership);
        path.fleet().start(host, life, new OwnershipNode(ownership));
    }

    /** Lets time pass and checks at every step that no shard has two holders. */
    private void runChecked(OnlinePath path, long nanos) {
        for (long passed = 0; passed < nanos; passed += STEP_NANOS) {
            path.fleet().run(STEP_NANOS);
            long now = path.fleet().now();
            IntStream.range(0, Shards.COUNT)
                    .forEach(s -> assertTrue(holders(s, now) <= 1, "holders of shard " + s));
        }
    }

    private long holders(int shard, long now) {
        return mOwners.values().stream().filter(o -> o.held(shard, now).isPresent()).count();
    }

    private void checkAllOwnedAndKnown(OnlinePath path) {
        long now = path.fleet().now();
        for (int shard = 0; shard < Shards.COUNT; shard++) {
            assertEquals(holders(shard, now), 1, "holders of shard " + shard);
            int number = shard;
            long owners =
                    mOwners.values().stream()
                            .map(o -> o.owner(number).map(OwnerLease.Owner::fencing))
                            .distinct()
                            .count();
            assertEquals(owners, 1, "owners of shard " + shard + " that entries know of");
        }
    }

    @DataProvider
    Object[][] seeds() {
        return IntStream.range(0, 8).mapToObj(i -> new Object[] {i}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void everyShardHasOneHolderThatAllEntriesKnow(int seed) {
        mOwners.clear();
        OnlinePath path = fleet(seed);

        runChecked(path, SETTLE_NANOS);

        checkAllOwnedAndKnown(path);
    }

    @Test(dataProvider = "seeds")
    public void theShardsOfLostCutOffOrStoppingEntriesGoOverAndNeverHaveTwoHolders(int seed) {
        mOwners.clear();
        OnlinePath path = fleet(seed);
        runChecked(path, SETTLE_NANOS);
        HostId host = ENTRIES.get(seed % ENTRIES.size()).host();
        if (seed % 4 == 0) {
            path.fleet().crash(host);
            mOwners.remove(host);
        } else if (seed % 4 == 1) {
            path.fleet().deliver(host, new Input.PlannedStop());
            runChecked(path, SETTLE_NANOS);
            path.fleet().crash(host);
            mOwners.remove(host);
        } else if (seed % 4 == 2) {
            path.fleet().crash(host);
            startEntry(path, host);
        } else {
            path.fleet().cut(host, OnlinePath.CONTROL);
            runChecked(path, SETTLE_NANOS);
            path.fleet().heal(host, OnlinePath.CONTROL);
        }
        runChecked(path, 2 * SETTLE_NANOS);

        checkAllOwnedAndKnown(path);
    }
}
