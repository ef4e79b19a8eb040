package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One entry of a replicated log.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that created the entry, from 1
 * @param command content, whose encoding depends on {@code kind}
 */
public record LogEntry(long index, long term, Kind kind, byte[] command) {
    /** Checks the components. */
    public LogEntry {
        checkArgument(index > 0, "index %s is below 1", index);
        checkArgument(term > 0, "term %s is below 1", term);
        checkArgument(kind != null && command != null, "entry %s has no content", index);
    }

    /** Type of an entry. */
    public enum Kind {
        /** Marks the start of a leader's term; the content is empty. */
        NOOP,
        /** A command for the state machine. */
        COMMAND,
        /** A new member list. */
        MEMBERS
    }

    /** Returns the entry with the given components. */
    public static LogEntry of(long index, long term, Kind kind, byte[] command) {
        return new LogEntry(index, term, kind, command);
    }

    /** Returns the approximate size of the entry in memory and on the wire, in bytes. */
    public int bytes() {
        return command.length + 32;
    }
}
