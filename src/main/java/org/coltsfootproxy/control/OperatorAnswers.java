package org.coltsfootproxy.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.coltsfootproxy.config.Verdict;

/** The JSON bodies that operators get. */
final class OperatorAnswers {
    private OperatorAnswers() {}

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
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Health(String status, String detail) {}
}
