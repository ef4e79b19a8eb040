package org.coltsfootproxy.message;

import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.WireCode;

/**
 * Messages between entries and the owner of an organisation's token bucket.
 *
 * <p>An entry's tokens of one organisation are counted in sums that only grow, so that a message
 * which is lost, doubled or late does no harm. The sums begin at 0 with each epoch of an entry's
 * life; the entry ends an epoch when its tokens expire.
 */
public sealed interface LimitMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.CONTROL;
    }

    /** Returns the organisation that the message is about. */
    OrganisationId organisation();

    /**
     * Names the sums of one entry under one owner.
     *
     * @param fencing fencing number of the owner's lease
     * @param life random number of the entry's life
     * @param epoch number of the epoch in that life, from 1
     */
    record Account(long fencing, long life, long epoch) {}

    /**
     * Entry to owner: I need tokens.
     *
     * @param askedNanos the entry's clock, larger with each ask; the grant repeats it
     * @param used tokens used in this epoch
     * @param returned tokens given back in this epoch
     * @param idleNanos time since the last use
     * @param need tokens for requests that wait now
     * @param ahead tokens for requests expected soon
     */
    @WireCode(400)
    record Ask(
            OrganisationId organisation,
            Account account,
            long askedNanos,
            long used,
            long returned,
            long idleNanos,
            int need,
            int ahead)
            implements LimitMessage {}

    /**
     * Owner to entry: what you have.
     *
     * @param askedNanos the entry's clock in the ask that this answers
     * @param granted tokens granted in this epoch
     * @param lifeNanos how long the tokens may be used, counted from {@code askedNanos}
     * @param retryNanos time until there is a token again, or 0 if all the need was granted
     * @param recovering whether the bucket still fills after a change of its owner
     */
    @WireCode(401)
    record Grant(
            OrganisationId organisation,
            Account account,
            long askedNanos,
            long granted,
            long lifeNanos,
            long retryNanos,
            boolean recovering)
            implements LimitMessage {}

    /** Owner to entry: give back what you don't need at once. */
    @WireCode(402)
    record Recall(OrganisationId organisation, Account account) implements LimitMessage {}

    /**
     * Entry to owner: this is used and this I give back.
     *
     * @param used tokens used in this epoch
     * @param returned tokens given back in this epoch
     * @param idleNanos time since the last use
     */
    @WireCode(403)
    record Return(
            OrganisationId organisation, Account account, long used, long returned, long idleNanos)
            implements LimitMessage {}
}
