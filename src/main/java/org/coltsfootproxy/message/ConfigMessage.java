package org.coltsfootproxy.message;

import java.util.List;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.WireCode;

/** Messages about configuration, its versions and leases. */
public sealed interface ConfigMessage extends Message {
    @Override
    default Lane lane() {
        return Lane.CONTROL;
    }

    /**
     * Subscriber to control: subscribe or renew; sent again and again.
     *
     * @param sequence number that the confirmation repeats
     * @param version version in force at the subscriber; an older one is never sent to it
     */
    @WireCode(300)
    record Subscribe(long sequence, long version) implements ConfigMessage {}

    /**
     * Control to subscriber: a part of the changes that lead to a version.
     *
     * <p>Whoever has any version from {@code from} up to {@code to} reaches {@code to} by them.
     *
     * @param from version that the changes start from; 0 stands for the empty configuration
     * @param part number of this part, from 0
     * @param parts number of parts, which count only together
     * @param changes encoded changes, each the whole state of one object or its removal
     */
    @WireCode(301)
    record Update(long from, long to, int part, int parts, List<byte[]> changes)
            implements ConfigMessage {}

    /**
     * Control to subscriber: after the renewal was sent, a quorum confirmed the current version.
     *
     * @param sequence number of the renewal
     */
    @WireCode(302)
    record Confirmed(long sequence, long version) implements ConfigMessage {}

    /** Control to subscriber: this host is stopping; subscribe elsewhere. */
    @WireCode(303)
    record GoElsewhere(long sequence) implements ConfigMessage {}

    /**
     * Holder to control: grant or renew a lease.
     *
     * @param fencing fencing number to renew, or 0 to ask for the lease
     * @param released fencing number up to which the holder has given its grants up
     * @param sequence number that the answer repeats
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
     * Control to holder: what became of a lease request.
     *
     * @param fencing fencing number that the asking holder has, or 0 if it doesn't have the lease
     * @param holder who has it, as far as known; may be null
     * @param retryMillis time after which to ask again if it wasn't granted
     */
    @WireCode(311)
    record LeaseAnswer(String name, long sequence, long fencing, HostId holder, long retryMillis)
            implements ConfigMessage {}

    /** Holder to control: the lease is no longer used. */
    @WireCode(312)
    record LeaseRelease(String name, Incarnation holder, long fencing) implements ConfigMessage {}

    /** Control to holder: this host doesn't lead; {@code leader} may, or is null. */
    @WireCode(313)
    record AskLeader(String name, long sequence, HostId leader) implements ConfigMessage {}

    /**
     * Control to leading control host: propose this command.
     *
     * @param id number that the result repeats
     */
    @WireCode(320)
    record Propose(long id, int group, byte[] command) implements ConfigMessage {}

    /**
     * Leading control host to control: what became of a proposal.
     *
     * @param kind what went wrong, or null if it was committed
     * @param result result of the state machine, empty unless committed
     */
    @WireCode(321)
    record ProposeResult(long id, ErrorKind kind, byte[] result) implements ConfigMessage {}

    /**
     * Control to leading control host: change the members of a group.
     *
     * @param add whether the host joins; if not, it leaves
     */
    @WireCode(324)
    record ChangeMember(long id, int group, boolean add, HostId host) implements ConfigMessage {}

    /** Control to control: tell me about your subscribers. */
    @WireCode(322)
    record StatusAsk(long id) implements ConfigMessage {}

    /** Control to control: the subscribers of a host, and the backlogs that it measures. */
    @WireCode(323)
    record StatusAnswer(
            long id, long version, List<SubscriberState> subscribers, List<BacklogState> backlogs)
            implements ConfigMessage {}

    /**
     * Batch work that waits.
     *
     * @param oldestSeconds time since the oldest job of it was accepted
     * @param jobsAtRisk jobs that are expected to end past their deadline
     */
    record BacklogState(
            String organisation, long itemsWaiting, double oldestSeconds, long jobsAtRisk) {}

    /**
     * A subscriber as its control host sees it.
     *
     * @param version version in force at the subscriber when it last renewed
     * @param ageMillis time since then
     */
    record SubscriberState(HostId host, long version, long ageMillis) {}
}
