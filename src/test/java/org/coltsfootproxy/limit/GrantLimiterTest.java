package org.coltsfootproxy.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.message.LimitMessage;
import org.coltsfootproxy.message.LimitMessage.Grant;
import org.coltsfootproxy.message.LimitMessage.GrantEpoch;
import org.coltsfootproxy.message.LimitMessage.TokenRequest;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.testng.annotations.Test;

/** Tests for {@link GrantLimiter} at one entry. */
public final class GrantLimiterTest {
    private static final long MILLI_NANOS = 1_000_000;
    private static final long SECOND_NANOS = 1_000 * MILLI_NANOS;
    private static final OrganisationId ORGANISATION = OrganisationId.of("harbour");
    private static final HostId SELF = HostId.of("entry-0");
    private static final HostId OTHER = HostId.of("entry-1");
    private static final long FENCING = 7;

    private final List<LimitMessage> mSent = new ArrayList<>();
    private final List<Decision> mDecided = new ArrayList<>();
    private final Effects mOut =
            effect -> mSent.add((LimitMessage) ((Effect.Send) effect).message());

    private GrantLimiter limiter(OwnerLease leases) {
        mSent.clear();
        mDecided.clear();
        GrantLimiter limiter =
                GrantLimiter.create(
                        SELF,
                        1,
                        LimitSettings.defaults(),
                        leases,
                        (call, decision, now, out) -> mDecided.add(decision));
        Organisation rates = new Organisation(ORGANISATION, 10, 5, 1);
        limiter.configure(
                ConfigView.of(1, Stream.of(rates), Stream.empty(), Stream.empty(), Stream.empty()),
                0);
        return limiter;
    }

    private static OwnerLease lease(HostId owner, Optional<OwnerLease.Held> held) {
        return new OwnerLease() {
            @Override
            public Optional<Owner> owner(int shard) {
                return Optional.of(new Owner(owner, FENCING));
            }

            @Override
            public Optional<Held> held(int shard, long now) {
                return held.filter(h -> now < h.untilNanos());
            }
        };
    }

    private static TokenRequest tokenRequest(long clockNanos, int need) {
        return new TokenRequest(
                ORGANISATION, new GrantEpoch(FENCING, 2, 1), clockNanos, 0, 0, 0, need, 0);
    }

    @Test
    public void aGrantEndsNoLaterThanTheLeaseOfTheOwner() {
        long leaseEndNanos = 10 * SECOND_NANOS + 300 * MILLI_NANOS;
        var held = new OwnerLease.Held(FENCING, 0, leaseEndNanos);
        GrantLimiter owner = limiter(lease(SELF, Optional.of(held)));
        owner.handle(OTHER, tokenRequest(1, 2), 10 * SECOND_NANOS, mOut);
        Grant grant = (Grant) mSent.get(0);

        assertEquals(grant.granted(), 2);
        assertTrue(grant.validNanos() <= 300 * MILLI_NANOS, "lifetime " + grant.validNanos());
    }

    @Test
    public void anOwnerWhoseLeaseHasEndedGrantsNothing() {
        var held = new OwnerLease.Held(FENCING, 0, 10 * SECOND_NANOS);
        GrantLimiter owner = limiter(lease(SELF, Optional.of(held)));
        owner.handle(OTHER, tokenRequest(1, 2), 10 * SECOND_NANOS, mOut);

        assertTrue(mSent.isEmpty());
    }

    @Test
    public void aDuplicateTokenRequestGrantsNothing() {
        var held = new OwnerLease.Held(FENCING, 0, 20 * SECOND_NANOS);
        GrantLimiter owner = limiter(lease(SELF, Optional.of(held)));
        owner.handle(OTHER, tokenRequest(1, 2), 10 * SECOND_NANOS, mOut);
        owner.handle(OTHER, tokenRequest(1, 2), 10 * SECOND_NANOS, mOut);

        assertEquals(mSent.size(), 1);
    }

    @Test
    public void aGrantThatArrivesAfterItsLifetimeIsIgnored() {
        GrantLimiter entry = limiter(lease(OTHER, Optional.empty()));
        entry.tryAcquire(ORGANISATION, 1, 0, mOut);
        TokenRequest request = (TokenRequest) mSent.get(0);
        Grant grant =
                new Grant(
                        ORGANISATION,
                        request.grantEpoch(),
                        request.askedNanos(),
                        5,
                        SECOND_NANOS,
                        0,
                        false);
        entry.handle(OTHER, grant, SECOND_NANOS, mOut);

        assertTrue(mDecided.isEmpty());
        entry.handle(OTHER, grant, SECOND_NANOS / 2, mOut);
        assertEquals(mDecided, List.of(Decision.ADMITTED));
    }

    @Test
    public void tokensAreNotUsedAfterTheirLifetime() {
        GrantLimiter entry = limiter(lease(OTHER, Optional.empty()));
        entry.tryAcquire(ORGANISATION, 1, 0, mOut);
        TokenRequest request = (TokenRequest) mSent.get(0);
        GrantEpoch grantEpoch = request.grantEpoch();
        Grant grant =
                new Grant(
                        ORGANISATION, grantEpoch, request.askedNanos(), 5, SECOND_NANOS, 0, false);
        entry.handle(OTHER, grant, MILLI_NANOS, mOut);

        assertEquals(entry.tryAcquire(ORGANISATION, 2, SECOND_NANOS / 2, mOut), Decision.ADMITTED);
        assertEquals(entry.tryAcquire(ORGANISATION, 3, SECOND_NANOS, mOut), Decision.WAIT);
    }

    @Test
    public void aRequestIsRefusedAsUnavailableWhenNoOwnerAnswersInTime() {
        GrantLimiter entry = limiter(lease(OTHER, Optional.empty()));
        entry.tryAcquire(ORGANISATION, 1, 0, mOut);
        long now = 0;
        while (mDecided.isEmpty() && entry.nextTickNanos() < 10 * SECOND_NANOS) {
            now = entry.nextTickNanos();
            entry.tick(now, mOut);
        }

        assertEquals(mDecided.get(0).verdict(), Decision.Verdict.UNAVAILABLE);
        assertEquals(now, LimitSettings.defaults().maxWaitNanos());
    }

    @Test
    public void aStoppingEntryReturnsItsTokens() {
        GrantLimiter entry = limiter(lease(OTHER, Optional.empty()));
        entry.tryAcquire(ORGANISATION, 1, 0, mOut);
        TokenRequest request = (TokenRequest) mSent.get(0);
        GrantEpoch grantEpoch = request.grantEpoch();
        entry.handle(
                OTHER,
                new Grant(
                        ORGANISATION, grantEpoch, request.askedNanos(), 5, SECOND_NANOS, 0, false),
                MILLI_NANOS,
                mOut);
        entry.stop(2 * MILLI_NANOS, mOut);

        assertEquals(
                mSent.get(mSent.size() - 1),
                new LimitMessage.Return(ORGANISATION, grantEpoch, 1, 4, MILLI_NANOS));
    }
}
