package org.coltsfootproxy.message;

import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.WireCode;

/**
 * Messages between an entry and the owner of an organisation's token bucket.
 *
 * <p>The owner is the entry that holds the lease of the organisation's shard. Token numbers are
 * cumulative within an epoch, so that lost, duplicated and delayed messages do no harm. They
 * restart at 0 with each epoch; the entry starts a new epoch when its tokens expire or the owner
 * changes.
 */
public sealed interface LimitMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.CONTROL;
    }

    /** Returns the organisation whose tokens the message is about. */
    OrganisationId organisation();

    /**
     * Identifies the cumulative token numbers of one entry at one owner.
     *
     * @param fencing fencing number of the owner's lease
     * @param incarnation random number that the entry drew when it started
     * @param epoch number of the epoch since the entry's start, from 1
     */
    record GrantEpoch(long fencing, long incarnation, long epoch) {}

    /**
     * Entry to owner: requests tokens.
     *
     * @param askedNanos time by the entry's monotonic clock, which grows with each request and
     *     which the grant repeats
     * @param used tokens used in this epoch
     * @param returned tokens returned in this epoch
     * @param idleNanos nanoseconds since the last token was used
     * @param need tokens for requests that wait now
     * @param prefetch tokens for requests that are expected soon, beyond those that the entry holds
     */
    @WireCode(400)
    record TokenRequest(
            OrganisationId organisation,
            GrantEpoch grantEpoch,
            long askedNanos,
            long used,
            long returned,
            long idleNanos,
            int need,
            int prefetch)
            implements LimitMessage {}

    /**
     * Owner to entry: answers {@link TokenRequest}.
     *
     * @param askedNanos {@code askedNanos} of the request that this answers
     * @param granted tokens granted in this epoch, including earlier grants
     * @param validNanos nanoseconds after {@code askedNanos} during which the tokens may be used
     * @param retryNanos nanoseconds until the next token is available, or 0 if the need was granted
     *     in full
     * @param recovering whether the bucket is still filling after a change of its owner; the entry
     *     then keeps requests waiting instead of refusing them
     */
    @WireCode(401)
    record Grant(
            OrganisationId organisation,
            GrantEpoch grantEpoch,
            long askedNanos,
            long granted,
            long validNanos,
            long retryNanos,
            boolean recovering)
            implements LimitMessage {}

    /** Owner to entry: return all unused tokens. */
    @WireCode(402)
    record Recall(OrganisationId organisation, GrantEpoch grantEpoch) implements LimitMessage {}

    /**
     * Entry to owner: returns unused tokens and reports the used ones.
     *
     * @param used tokens used in this epoch
     * @param returned tokens returned in this epoch, including those returned now
     * @param idleNanos nanoseconds since the last token was used
     */
    @WireCode(403)
    record Return(
            OrganisationId organisation,
            GrantEpoch grantEpoch,
            long used,
            long returned,
            long idleNanos)
            implements LimitMessage {}
}
