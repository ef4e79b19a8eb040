package org.coltsfootproxy.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.coltsfootproxy.config.Verdict;
import org.coltsfootproxy.consensus.RaftStatus;
import org.coltsfootproxy.membership.Lease;
import org.coltsfootproxy.message.ConfigMessage;

/** The JSON bodies that operators get. */
final class OperatorResponses {
    private OperatorResponses() {}

    /** The answer to an accepted ticket. */
    record Ticket(long ticket, String outcome, long version) {
        static Ticket of(Verdict verdict) {
            return new Ticket(verdict.ticket(), "accepted", verdict.version());
        }
    }

    /**
     * One ticket.
     *
     * @param inForce objects that the ticket set and no later one has
     */
    record TicketDetail(long ticket, String outcome, long version, List<String> inForce) {}

    /**
     * The accepted tickets.
     *
     * @param floor number up to which tickets are refused unless they are listed
     */
    record Tickets(long version, long floor, List<Ticket> tickets) {}

    /** Whether the host can serve. */
    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    record Health(String status, String detail) {}

    /**
     * The fleet as one control host sees it.
     *
     * @param configVersion version of the configuration on this host
     * @param oldestVersion oldest version in force at a subscriber
     * @param silent control hosts that didn't answer; their subscribers are missing
     * @param backlogs batch work that waits, by organisation
     */
    record Status(
            String host,
            long configVersion,
            long oldestVersion,
            List<GroupStatus> groups,
            List<Subscriber> subscribers,
            List<String> silent,
            List<LeaseStatus> leases,
            List<ConfigMessage.BacklogState> backlogs) {}

    /**
     * One replicated log.
     *
     * @param holds what it holds: configuration or jobs
     * @param leaseValid whether this host leads and no other can
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
     * One member of a log.
     *
     * @param lag entries that it has not synced yet; null where that isn't known
     * @param heard whether it answers; null where that isn't known
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
     * One entry or agent.
     *
     * @param version version in force there when it last renewed
     * @param ageMillis time since then
     * @param control control host that it subscribes to
     */
    record Subscriber(String host, long version, long ageMillis, String control) {}

    /** One lease; it may have expired if nobody asked for it since. */
    record LeaseStatus(String name, String holder, long fencing, long durationMillis) {
        static LeaseStatus of(Lease lease) {
            return new LeaseStatus(
                    lease.name(), lease.host().value(), lease.fencing(), lease.durationMillis());
        }
    }

    /** What became of a change of members in one group. */
    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    record MemberOutcome(int group, String outcome, String detail) {}

    /** What became of a change of members. */
    record MemberOutcomes(String host, String action, List<MemberOutcome> groups) {}
}
