package org.coltsfootproxy.base;

/**
 * The closed list of log events, each with a number that never changes its meaning.
 *
 * <p>{@code docs/EVENTS.md} is tested against this table.
 */
public enum EventCode {
    // 100-199: processes and settings
    PROCESS_STARTED(100, Level.INFO, "process started"),
    PROCESS_STOPPING(101, Level.INFO, "planned stop began"),
    PROCESS_STOPPED(102, Level.INFO, "process stopped"),
    RING_FULL(103, Level.WARN, "a ring between two duties was full"),
    DUTY_FAILED(104, Level.ERROR, "a duty failed on one input and went on"),
    LOG_LINES_DROPPED(105, Level.WARN, "log lines were dropped"),
    SETTINGS_RELOADED(106, Level.INFO, "changed settings were read"),
    SETTINGS_REFUSED(107, Level.WARN, "changed settings are not valid and were left out"),

    // 200-299: consensus and storage
    LEADER_ELECTED(200, Level.INFO, "this host became leader"),
    LEADER_STEPPED_DOWN(201, Level.INFO, "this host stepped down as leader"),
    GROUP_FOUNDED(202, Level.INFO, "a replicated log was founded"),
    LOG_MEMBERS_CHANGED(203, Level.INFO, "the members of a replicated log were changed"),
    SNAPSHOT_INSTALLED(204, Level.INFO, "a snapshot from the leader replaced the log"),
    STORAGE_WRITE_REFUSED(205, Level.WARN, "the disk is full; the write will be tried again"),
    STORAGE_FAILED(206, Level.ERROR, "the disk failed; this member takes no part any more"),
    LEADERSHIP_GIVEN_UP(207, Level.INFO, "this host handed leadership over"),
    HOST_ASKS_TO_JOIN(208, Level.WARN, "a host that is no member asked to join"),

    // 300-399: configuration, membership and leases
    TICKET_ACCEPTED(300, Level.INFO, "a change ticket was accepted"),
    TICKET_REFUSED(301, Level.WARN, "a change ticket was refused"),
    CONFIG_APPLIED(302, Level.INFO, "a configuration version came into force"),
    CONFIG_LEASE_LOST(303, Level.WARN, "the configuration can't be confirmed as current"),
    CONFIG_UPDATE_REFUSED(304, Level.ERROR, "an update of the configuration can't be read"),
    LEASE_GRANTED(305, Level.INFO, "a lease was granted"),
    LEASE_ENDED(306, Level.INFO, "a lease was released or expired"),
    LEASE_LOST(307, Level.WARN, "a lease held here was lost"),
    HOST_LEAVING(308, Level.INFO, "the platform lists a host as leaving"),
    HOST_LIST_UNREADABLE(309, Level.WARN, "the platform's host list can't be read"),
    MEMBERS_CHANGED(310, Level.INFO, "the members of a replicated log were changed"),
    ROSTER_CHANGED(311, Level.INFO, "the hosts of the fleet have changed"),
    TARGETS_LISTED(312, Level.INFO, "the platform's list of targets has changed"),
    TARGETS_UNREADABLE(313, Level.WARN, "the platform's list of targets can't be read"),
    TARGET_ENTRY_DAMAGED(314, Level.WARN, "entries of the list of targets were left out"),
    SEEDS_CHANGED(315, Level.INFO, "the settings name other seeds"),
    JOBS_FOUNDED(317, Level.INFO, "the first members of the log of the jobs were agreed on"),
    HOST_RETIRING(318, Level.INFO, "an operator has a host emptied"),
    CLOCK_JUMPED(316, Level.WARN, "the clocks show that the host stood still or was set"),

    // 400-499: entry, limits and routing
    TARGET_SET_ASIDE(400, Level.WARN, "a target was set aside"),
    CALL_REFUSED(401, Level.INFO, "a request was refused"),
    CALL_SENT(402, Level.INFO, "a request was sent to a target"),
    CALL_TRY_ENDED(403, Level.INFO, "a target did not give the answer to a request"),
    CALL_ANSWERED(404, Level.INFO, "a request was answered"),
    CALL_FAILED(405, Level.WARN, "a request was answered with a failure of the system"),
    CALL_CUT(406, Level.WARN, "an answer was broken off"),
    CALLER_GONE(407, Level.INFO, "a caller left before the answer was whole"),
    READINESS_CHANGED(408, Level.INFO, "the host's readiness has changed"),

    // 500-599: agent and admission

    // 600-699: jobs
    ITEMS_IN_DOUBT(600, Level.WARN, "items that may have run wait for an operator"),
    JOB_CALL_ANSWERED(601, Level.INFO, "a call on a batch job was answered"),
    ITEM_SENT(602, Level.INFO, "a batch item was sent to a target"),
    ITEM_TRY_ENDED(603, Level.INFO, "a run of a batch item ended without its whole output"),
    ITEM_REPORTED(604, Level.INFO, "a batch item's outcome was reported"),

    // 700-799: network
    PEER_CONNECTED(700, Level.INFO, "a peer connected"),
    PEER_LOST(701, Level.WARN, "a peer's connection was lost"),
    PEER_REFUSED(702, Level.WARN, "a peer's connection was refused"),
    FRAME_MALFORMED(703, Level.WARN, "a malformed frame closed a connection"),
    PEER_SILENT(704, Level.WARN, "a peer's connection went silent and was closed"),
    PEER_OVERFLOW(705, Level.WARN, "messages to a peer were dropped: too many unsent bytes"),
    CONNECTIONS_FULL(706, Level.WARN, "a connection was refused: too many are open"),
    CALLER_CUT(707, Level.WARN, "a caller that did not read its answer was cut off"),
    REQUEST_REFUSED(708, Level.INFO, "a request was refused before it was routed"),
    TARGET_UNSOLICITED(709, Level.WARN, "a target sent bytes that nobody had asked for"),
    HANDLER_FAILED(710, Level.ERROR, "a connection was closed after a failure in its handler");

    /** How much an event matters. */
    public enum Level {
        /** An ordinary change. */
        INFO,
        /** Something that operators may have to look at. */
        WARN,
        /** Something that operators must look at. */
        ERROR
    }

    private final int mNumber;
    private final Level mLevel;
    private final String mText;

    EventCode(int number, Level level, String text) {
        mNumber = number;
        mLevel = level;
        mText = text;
    }

    /** Returns the number of the event. */
    public int number() {
        return mNumber;
    }

    /** Returns how much the event matters. */
    public Level level() {
        return mLevel;
    }

    /** Returns what happened, for people. */
    public String text() {
        return mText;
    }
}
