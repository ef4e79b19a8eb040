package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One entry of a replicated log.
 *
 * @param index place in the log, from 1
 * @param term term of the leader that made the entry
 * @param command content, as {@code kind} says
 */
public record LogEntry(long index, long term, Kind kind, byte[] command) {
    /** Checks the numbers. */
    public LogEntry {
        checkArgument(index > 0, "index %s is below 1", index);
        checkArgument(term > 0, "term %s is below 1", term);
        checkArgument(kind != null && command != null, "entry %s has no content", index);
    }

    /** What an entry is for. */
    public enum Kind {
        /** Marks the start of a leader's term; empty. */
        NOOP,
        /** A command of the state machine. */
        COMMAND,
        /** A new list of members. */
        MEMBERS
    }

    /** Returns the entry with the given parts. */
    public static LogEntry of(long index, long term, Kind kind, byte[] command) {
        return new LogEntry(index, term, kind, command);
    }

    /** Returns about how many bytes the entry takes in memory and on the wire. */
    public int bytes() {
        return command.length + 32;
    }
}
