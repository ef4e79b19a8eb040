package org.coltsfootproxy.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.function.BiConsumer;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.message.LimitMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;

/**
 * A limiter in which one owner per shard of organisations grants tokens to entries in small
 * amounts.
 *
 * <p>Each entry is both client and owner: it asks for tokens, and it owns the buckets of the shards
 * whose lease it holds. Messages to itself are handled in the same step.
 */
public final class GrantLimiter implements Limiter {
    private final HostId mSelf;
    private final LimitClient mClient;
    private final LimitOwner mOwner;
    private final Listener mListener;
    private final Queue<LimitMessage> mMessagesToSelf = new ArrayDeque<>();

    private GrantLimiter(HostId self, LimitClient client, LimitOwner owner, Listener listener) {
        mSelf = checkNotNull(self, "host");
        mClient = client;
        mOwner = owner;
        mListener = checkNotNull(listener, "listener");
    }

    /**
     * Returns a limiter for one incarnation of an entry's process.
     *
     * @param incarnation random number drawn at the entry's start
     */
    public static GrantLimiter create(
            HostId self,
            long incarnation,
            LimitSettings settings,
            OwnerLease leases,
            Listener listener) {
        return new GrantLimiter(
                self,
                new LimitClient(self, incarnation, settings, leases),
                new LimitOwner(settings, leases),
                listener);
    }

    @Override
    public Decision tryAcquire(OrganisationId organisation, long call, long nowNanos, Effects out) {
        Effects loopback = withLoopback(out);
        Decision first = mClient.tryAcquire(organisation, call, nowNanos, loopback);
        deliverToSelf(nowNanos, loopback);
        Decision decision = first;
        for (LimitClient.Decided decided : mClient.takeDecided()) {
            if (decided.call() == call) {
                decision = decided.decision();
            } else {
                mListener.decided(decided.call(), decided.decision(), nowNanos, out);
            }
        }
        return decision;
    }

    @Override
    public void cancel(OrganisationId organisation, long call) {
        mClient.cancel(organisation, call);
    }

    @Override
    public void handle(HostId from, LimitMessage message, long nowNanos, Effects out) {
        run(nowNanos, out, (now, loopback) -> dispatch(from, message, now, loopback));
    }

    @Override
    public void tick(long nowNanos, Effects out) {
        run(
                nowNanos,
                out,
                (now, loopback) -> {
                    mOwner.tick(now, loopback);
                    mClient.tick(now, loopback);
                });
    }

    @Override
    public long nextTickNanos() {
        return Math.min(mOwner.nextTickNanos(), mClient.nextTickNanos());
    }

    @Override
    public void configure(ConfigView view, long nowNanos) {
        mOwner.configure(view, nowNanos);
    }

    @Override
    public void stop(long nowNanos, Effects out) {
        run(nowNanos, out, mClient::stop);
    }

    private void run(long now, Effects out, BiConsumer<Long, Effects> step) {
        Effects loopback = withLoopback(out);
        step.accept(now, loopback);
        deliverToSelf(now, loopback);
        List<LimitClient.Decided> decided = mClient.takeDecided();
        decided.forEach(d -> mListener.decided(d.call(), d.decision(), now, out));
    }

    /** Returns effects that queue messages to this host for {@link #deliverToSelf}. */
    private Effects withLoopback(Effects out) {
        return effect -> {
            if (effect instanceof Effect.Send send
                    && send.to().equals(mSelf)
                    && send.message() instanceof LimitMessage message) {
                mMessagesToSelf.add(message);
            } else {
                out.add(effect);
            }
        };
    }

    private void deliverToSelf(long now, Effects loopback) {
        LimitMessage message = mMessagesToSelf.poll();
        while (message != null) {
            dispatch(mSelf, message, now, loopback);
            message = mMessagesToSelf.poll();
        }
    }

    private void dispatch(HostId from, LimitMessage message, long now, Effects out) {
        if (message instanceof LimitMessage.TokenRequest request) {
            mOwner.handleRequest(from, request, now, out);
        } else if (message instanceof LimitMessage.Grant grant) {
            mClient.handleGrant(from, grant, now, out);
        } else if (message instanceof LimitMessage.Recall recall) {
            mClient.handleRecall(from, recall, now, out);
        } else if (message instanceof LimitMessage.Return tokenReturn) {
            mOwner.handleReturn(from, tokenReturn, now, out);
        }
    }
}
