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
 * The limiter by grants: an owner for each shard of organisations grants small amounts to entries.
 *
 * <p>Each entry has both sides: it asks for tokens, and it owns the buckets of the shards whose
 * lease it holds. Messages to itself are handled in the same step.
 */
public final class GrantLimiter implements Limiter {
    private final HostId mSelf;
    private final LimitClient mClient;
    private final LimitOwner mOwner;
    private final Listener mListener;
    private final Queue<LimitMessage> mToSelf = new ArrayDeque<>();

    private GrantLimiter(HostId self, LimitClient client, LimitOwner owner, Listener listener) {
        mSelf = checkNotNull(self, "host");
        mClient = client;
        mOwner = owner;
        mListener = checkNotNull(listener, "listener");
    }

    /**
     * Returns the limiter of one entry's life.
     *
     * @param life random number drawn at the entry's start
     */
    public static GrantLimiter create(
            HostId self, long life, LimitSettings settings, OwnerLease leases, Listener listener) {
        return new GrantLimiter(
                self,
                new LimitClient(self, life, settings, leases),
                new LimitOwner(settings, leases),
                listener);
    }

    @Override
    public Decision tryAcquire(OrganisationId organisation, long call, long nowNanos, Effects out) {
        Effects loop = looped(out);
        Decision first = mClient.tryAcquire(organisation, call, nowNanos, loop);
        pump(nowNanos, loop);
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
        run(nowNanos, out, (now, loop) -> dispatch(from, message, now, loop));
    }

    @Override
    public void tick(long nowNanos, Effects out) {
        run(
                nowNanos,
                out,
                (now, loop) -> {
                    mOwner.tick(now, loop);
                    mClient.tick(now, loop);
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
        Effects loop = looped(out);
        step.accept(now, loop);
        pump(now, loop);
        List<LimitClient.Decided> decided = mClient.takeDecided();
        decided.forEach(d -> mListener.decided(d.call(), d.decision(), now, out));
    }

    /** Keeps messages to this host back for {@link #pump}. */
    private Effects looped(Effects out) {
        return effect -> {
            if (effect instanceof Effect.Send send
                    && send.to().equals(mSelf)
                    && send.message() instanceof LimitMessage message) {
                mToSelf.add(message);
            } else {
                out.add(effect);
            }
        };
    }

    private void pump(long now, Effects loop) {
        LimitMessage message = mToSelf.poll();
        while (message != null) {
            dispatch(mSelf, message, now, loop);
            message = mToSelf.poll();
        }
    }

    private void dispatch(HostId from, LimitMessage message, long now, Effects out) {
        if (message instanceof LimitMessage.Ask ask) {
            mOwner.ask(from, ask, now, out);
        } else if (message instanceof LimitMessage.Grant grant) {
            mClient.granted(from, grant, now, out);
        } else if (message instanceof LimitMessage.Recall recall) {
            mClient.recalled(from, recall, now, out);
        } else if (message instanceof LimitMessage.Return giveBack) {
            mOwner.giveBack(from, giveBack, now, out);
        }
    }
}
