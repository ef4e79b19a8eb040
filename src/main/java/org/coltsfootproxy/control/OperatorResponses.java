package org.coltsfootproxy.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.coltsfootproxy.config.Verdict;
import org.coltsfootproxy.consensus.RaftStatus;
import org.coltsfootproxy.membership.Lease;
import org.coltsfootproxy.message.ConfigMessage;

/** The JSON bodies of responses to operators. Component names are the names in JSON. */
final class OperatorResponses {
    private OperatorResponses() {}

    /** An accepted ticket, with the configuration version that it produced. */
    record Ticket(long ticket, String outcome, long version) {
        static Ticket of(Verdict verdict) {
            return new Ticket(verdict.ticket(), "accepted", verdict.version());
        }
    }

    /**
     * The details of one accepted ticket.
     *
     * @param inForce objects that the ticket set last
     */
    record TicketDetail(long ticket, String outcome, long version, List<String> inForce) {}

    /**
     * The accepted tickets.
     *
     * @param floor ticket number up to which tickets are refused unless they are listed
     */
    record Tickets(long version, long floor, List<Ticket> tickets) {}

    /** Response to a health or readiness check. */
    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    record Health(String status, String detail) {}

    /**
     * The state of the fleet as one control host reports it.
     *
     * @param configVersion version of the configuration on this host
     * @param oldestVersion oldest version in force at any subscriber
     * @param silent control hosts that did not respond; their subscribers are missing
     * @param backlogs waiting batch work of each organisation
     * @param evacuated data centres to whose targets nothing new is sent
     */
    record Status(
            String host,
            long configVersion,
            long oldestVersion,
            List<GroupStatus> groups,
            List<Subscriber> subscribers,
            List<String> silent,
            List<LeaseStatus> leases,
            List<ConfigMessage.BacklogState> backlogs,
            List<String> evacuated) {}

    /**
     * The state of one replicated log.
     *
     * @param holds content of the log: configuration or jobs
     * @param leaseValid whether this host leads under a valid leader lease, so that no other can
     *     lead
     */
    record GroupStatus(
            int group,
            String holds,
            String state,
            String leader,
            long term,
            boolean leaseValid,
            long committed,
            long applied,
            boolean diskFull,
            List<MemberStatus> members) {
        static GroupStatus of(RaftStatus status) {
            return new GroupStatus(
                    status.group(),
                    status.group() == 0 ? "configuration" : "jobs",
                    status.state().name().toLowerCase(java.util.Locale.ROOT),
                    status.leader().map(Object::toString).orElse(""),
                    status.term(),
                    status.leaseValid(),
                    status.commitIndex(),
                    status.appliedIndex(),
                    status.diskFull(),
                    status.members().all().map(m -> MemberStatus.of(m, status)).toList());
        }
    }

    /**
     * The state of one member of a log.
     *
     * @param lag number of entries that the member has not synced yet; null if not known
     * @param heard whether the member responds; null if not known
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record MemberStatus(String host, String incarnation, boolean voter, Long lag, Boolean heard) {
        static MemberStatus of(org.coltsfootproxy.base.Member member, RaftStatus status) {
            var lag = status.lags().stream().filter(l -> l.member().equals(member)).findFirst();
            return new MemberStatus(
                    member.host().value(),
                    member.incarnation().toString(),
                    status.members().voters().contains(member),
                    lag.map(RaftStatus.Lag::entries).orElse(null),
                    lag.map(RaftStatus.Lag::heard).orElse(null));
        }
    }

    /**
     * An entry or agent that subscribes to the configuration.
     *
     * @param version version in force at the subscriber when it last renewed its subscription
     * @param ageMillis time since that renewal
     * @param control control host that it subscribes to
     */
    record Subscriber(String host, long version, long ageMillis, String control) {}

    /** A lease as last granted; it may have expired if no host has requested it since. */
    record LeaseStatus(String name, String holder, long fencing, long durationMillis) {
        static LeaseStatus of(Lease lease) {
            return new LeaseStatus(
                    lease.name(), lease.host().value(), lease.fencing(), lease.durationMillis());
        }
    }

    /** The outcome of a membership change in one group. */
    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    record MemberOutcome(int group, String outcome, String detail) {}

    /** The outcome of a membership change in all groups. */
    record MemberOutcomes(String host, String action, List<MemberOutcome> groups) {}
}
