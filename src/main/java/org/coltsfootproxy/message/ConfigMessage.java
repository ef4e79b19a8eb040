package org.coltsfootproxy.message;

import java.util.List;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.WireCode;

/**
 * Messages about the configuration, leases and changes of replicated state.
 *
 * <p>A subscriber is a host that keeps a copy of the configuration; a holder is a host that holds
 * or wants a lease. {@code control} denotes a control host.
 */
public sealed interface ConfigMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.CONTROL;
    }

    /**
     * Subscriber to control: subscribes or renews the subscription. Sent periodically.
     *
     * @param sequence number of the renewal, which {@link Confirmed} repeats
     * @param version configuration version that the subscriber has; it is never sent an older one
     */
    @WireCode(300)
    record Subscribe(long sequence, long version) implements ConfigMessage {}

    /**
     * Control to subscriber: a part of the changes that lead to a configuration version.
     *
     * <p>The changes bring any version from {@code from} to {@code to}, both inclusive, to version
     * {@code to}.
     *
     * @param from version that the changes start from; 0 denotes the empty configuration
     * @param to version that the changes lead to
     * @param part number of this part, from 0
     * @param parts number of parts, which the subscriber applies only once it has them all
     * @param changes encoded changes, each the complete state of one object or its removal
     */
    @WireCode(301)
    record Update(long from, long to, int part, int parts, List<byte[]> changes)
            implements ConfigMessage {}

    /**
     * Control to subscriber: a quorum confirmed the current version after the renewal was sent.
     *
     * @param sequence number of the renewal
     * @param version current configuration version
     */
    @WireCode(302)
    record Confirmed(long sequence, long version) implements ConfigMessage {}

    /**
     * Control to subscriber: this host is stopping; subscribe at another control host.
     *
     * @param sequence number of the renewal that this answers, or 0 if it answers none
     */
    @WireCode(303)
    record SubscriptionRefused(long sequence) implements ConfigMessage {}

    /**
     * Holder to control: requests or renews a lease.
     *
     * @param name name of the lease
     * @param holder incarnation of the sender
     * @param fencing fencing number of the lease to renew, or 0 to acquire the lease
     * @param released fencing number up to which the holder has released its grants, 0 if none
     * @param durationMillis duration of the lease in milliseconds
     * @param sequence number of the request, which the answer repeats
     */
    @WireCode(310)
    record LeaseRequest(
            String name,
            Incarnation holder,
            long fencing,
            long released,
            long durationMillis,
            long sequence)
            implements ConfigMessage {}

    /**
     * Control to holder: answers a {@link LeaseRequest}.
     *
     * @param sequence number of the request
     * @param fencing fencing number of the granted lease, or 0 if the lease was not granted
     * @param holder host that holds the lease, or null if unknown
     * @param retryMillis milliseconds to wait before the next request if the lease was not granted,
     *     else 0
     */
    @WireCode(311)
    record LeaseAnswer(String name, long sequence, long fencing, HostId holder, long retryMillis)
            implements ConfigMessage {}

    /**
     * Holder to control: releases a lease.
     *
     * @param holder incarnation of the sender
     * @param fencing fencing number of the lease
     */
    @WireCode(312)
    record LeaseRelease(String name, Incarnation holder, long fencing) implements ConfigMessage {}

    /**
     * Control to holder: this host is not the leader.
     *
     * @param name name of the requested lease
     * @param sequence number of the request
     * @param leader host that is believed to be the leader, or null if unknown
     */
    @WireCode(313)
    record NotLeader(String name, long sequence, HostId leader) implements ConfigMessage {}

    /**
     * Control to leader: propose this command to a replicated log.
     *
     * @param id number of the proposal, which the result repeats
     * @param group number of the log's group
     */
    @WireCode(320)
    record Propose(long id, int group, byte[] command) implements ConfigMessage {}

    /**
     * Leader to control: outcome of a {@link Propose} or {@link ChangeMember}.
     *
     * @param id number of the proposal
     * @param kind error kind, or null if the proposal was committed
     * @param result encoded result of the state machine, empty unless committed
     */
    @WireCode(321)
    record ProposeResult(long id, ErrorKind kind, byte[] result) implements ConfigMessage {}

    /**
     * Control to leader: change the members of a replicated log.
     *
     * @param id number of the proposal, which the result repeats
     * @param group number of the log's group
     * @param add true to add the host, false to remove it
     */
    @WireCode(324)
    record ChangeMember(long id, int group, boolean add, HostId host) implements ConfigMessage {}

    /**
     * Control to control: asks for the state of the receiver's subscribers.
     *
     * @param id number of the request, which the answer repeats
     */
    @WireCode(322)
    record StatusQuery(long id) implements ConfigMessage {}

    /**
     * Control to control: answers a {@link StatusQuery}.
     *
     * @param id number of the request
     * @param version configuration version of the sender
     * @param subscribers subscribers of the sender
     * @param backlogs backlogs of batch work that the sender measures
     */
    @WireCode(323)
    record StatusAnswer(
            long id, long version, List<SubscriberState> subscribers, List<BacklogState> backlogs)
            implements ConfigMessage {}

    /**
     * Backlog of batch work of one organisation.
     *
     * @param organisation id of the organisation
     * @param itemsWaiting number of items that wait or have started
     * @param oldestSeconds seconds since the oldest unfinished job was accepted
     * @param jobsAtRisk number of jobs that are expected to finish after their deadline
     */
    record BacklogState(
            String organisation, long itemsWaiting, double oldestSeconds, long jobsAtRisk) {}

    /**
     * State of a subscriber.
     *
     * @param version configuration version that the subscriber had when it last renewed
     * @param ageMillis milliseconds since that renewal
     */
    record SubscriberState(HostId host, long version, long ageMillis) {}
}
