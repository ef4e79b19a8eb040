package org.coltsfootproxy.config;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.WireCode;

/**
 * The answer to a ticket; the same for each resend of the same content.
 *
 * @param version version of the configuration that an accepted ticket made, otherwise 0
 * @param detail why it was refused, or empty
 */
@WireCode(1)
public record Verdict(Outcome outcome, long ticket, long version, String detail)
        implements ConfigResult {
    /** What became of a ticket. */
    public enum Outcome {
        /** The ticket is in force from its version on. */
        ACCEPTED(null),
        /** A later ticket has set an object that this one touches; nothing was changed. */
        STALE(ErrorKind.STALE),
        /** The number was accepted with other content; nothing was changed. */
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

    /** Tells whether the ticket was accepted. */
    @JsonIgnore
    public boolean isAccepted() {
        return outcome == Outcome.ACCEPTED;
    }
}
