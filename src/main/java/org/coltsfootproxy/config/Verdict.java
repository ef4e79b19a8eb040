package org.coltsfootproxy.config;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.WireCode;

/**
 * The result of a ticket. Resending the same content yields the same verdict.
 *
 * @param version version of the configuration that an accepted ticket produced, otherwise 0
 * @param detail reason for a refusal, otherwise empty
 */
@WireCode(1)
public record Verdict(Outcome outcome, long ticket, long version, String detail)
        implements ConfigResult {
    /** The outcome of a ticket. */
    public enum Outcome {
        /** The ticket is in force from its version on. */
        ACCEPTED(null),
        /**
         * A ticket with the same or a higher number has set or removed an object that this ticket
         * changes, or the number is not above {@link ConfigState#floor}; nothing was changed.
         */
        STALE(ErrorKind.STALE),
        /** A ticket with this number but other content was accepted; nothing was changed. */
        CONFLICT(ErrorKind.CONFLICT),
        /** The content is not valid; nothing was changed. */
        INVALID(ErrorKind.INVALID_TICKET);

        private final ErrorKind mKind;

        Outcome(ErrorKind kind) {
            mKind = kind;
        }

        /** Returns the error kind of a refusal; null if accepted. */
        public ErrorKind kind() {
            return mKind;
        }
    }

    /** Returns the verdict on an accepted ticket. */
    static Verdict accepted(long ticket, long version) {
        return new Verdict(Outcome.ACCEPTED, ticket, version, "");
    }

    /** Returns the verdict on a refused ticket. */
    static Verdict refused(Outcome outcome, long ticket, String detail) {
        return new Verdict(outcome, ticket, 0, detail);
    }

    /** Returns whether the ticket was accepted. */
    @JsonIgnore
    public boolean isAccepted() {
        return outcome == Outcome.ACCEPTED;
    }
}
