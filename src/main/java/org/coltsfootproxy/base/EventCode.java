package org.coltsfootproxy.base;

/**
 * Log events. The list is closed, and the number of an event never changes its meaning.
 *
 * <p>{@code docs/EVENTS.md} is generated from this enum, and a test compares the two.
 */
public enum EventCode {
    // 100-199: processes and settings
    PROCESS_STARTED(100, Level.INFO, "process started"),
    PROCESS_STOPPING(101, Level.INFO, "planned stop began"),
    PROCESS_STOPPED(102, Level.INFO, "process stopped"),
    RING_FULL(103, Level.WARN, "a ring buffer between two threads was full"),
    DUTY_FAILED(104, Level.ERROR, "handling one input failed; the process continues"),
    LOG_LINES_DROPPED(105, Level.WARN, "log lines were dropped"),
    SETTINGS_RELOADED(106, Level.INFO, "settings were reloaded"),
    SETTINGS_REFUSED(107, Level.WARN, "changed settings are invalid and were ignored"),
    PROCESS_FAILED(108, Level.ERROR, "the process ends after an error that it can't survive"),

    // 200-299: consensus and storage
    LEADER_ELECTED(200, Level.INFO, "this host became leader"),
    LEADER_STEPPED_DOWN(201, Level.INFO, "this host stepped down as leader"),
    GROUP_FOUNDED(202, Level.INFO, "a replicated log was created with its first members"),
    LOG_MEMBERS_CHANGED(203, Level.INFO, "the leader of a replicated log changed its members"),
    SNAPSHOT_INSTALLED(204, Level.INFO, "a snapshot from the leader replaced the log"),
    STORAGE_WRITE_REFUSED(205, Level.WARN, "the disk is full; the write will be retried"),
    STORAGE_FAILED(206, Level.ERROR, "the disk failed; this member stopped participating"),
    LEADERSHIP_GIVEN_UP(207, Level.INFO, "this leader asked another host to take over"),
    HOST_ASKS_TO_JOIN(208, Level.WARN, "a host that is not a member asked to join"),

    // 300-399: configuration, membership and leases
    TICKET_ACCEPTED(300, Level.INFO, "a change ticket was accepted"),
    TICKET_REFUSED(301, Level.WARN, "a change ticket was refused"),
    CONFIG_APPLIED(302, Level.INFO, "a configuration version took effect"),
    CONFIG_LEASE_LOST(303, Level.WARN, "the configuration can't be confirmed as current"),
    CONFIG_UPDATE_REFUSED(304, Level.ERROR, "a configuration update can't be decoded"),
    LEASE_GRANTED(305, Level.INFO, "a lease was granted"),
    LEASE_ENDED(306, Level.INFO, "a lease was released or expired"),
    LEASE_LOST(307, Level.WARN, "a lease held here was lost"),
    HOST_LEAVING(308, Level.INFO, "the platform's host list marks a host as leaving"),
    HOST_LIST_UNREADABLE(309, Level.WARN, "the platform's host list can't be read"),
    MEMBERS_CHANGED(310, Level.INFO, "an operator's change of group members was completed"),
    ROSTER_CHANGED(311, Level.INFO, "the set of hosts in the fleet changed"),
    TARGETS_LISTED(312, Level.INFO, "the platform's target list changed"),
    TARGETS_UNREADABLE(313, Level.WARN, "the platform's target list can't be read"),
    TARGET_ENTRY_DAMAGED(314, Level.WARN, "invalid entries of the target list were ignored"),
    SEEDS_CHANGED(315, Level.INFO, "the seed hosts in the settings changed"),
    JOBS_FOUNDED(317, Level.INFO, "the first members of the job log were committed"),
    HOST_RETIRING(318, Level.INFO, "an operator ordered a host to be retired"),
    RELAY_CHANGED(319, Level.INFO, "another host relays this host's reports"),
    TARGET_LEAVING(320, Level.INFO, "a target said that it is leaving"),
    TARGET_LIMITED(321, Level.INFO, "a target named, changed or lifted a limit on its requests"),
    VERSIONS_RECORDED(
            324, Level.INFO, "the software versions that services have had recently were recorded"),
    TARGET_COLD(325, Level.INFO, "a target is cold, so that it gets few requests for a while"),
    EVACUATIONS_CHANGED(330, Level.INFO, "the evacuated data centres changed at this host"),
    EVACUATION_ORDERED(331, Level.INFO, "an operator's order on a data centre was committed"),
    CLOCK_JUMPED(316, Level.WARN, "the host was suspended or its clock was set"),

    // 400-499: entry, limits and routing
    TARGET_SET_ASIDE(400, Level.WARN, "a target was ejected"),
    CALL_REFUSED(401, Level.INFO, "a request was refused"),
    CALL_SENT(402, Level.INFO, "a request was sent to a target"),
    CALL_TRY_ENDED(403, Level.INFO, "an attempt at a target ended without a complete answer"),
    CALL_ANSWERED(404, Level.INFO, "a request was answered"),
    CALL_FAILED(405, Level.WARN, "a request failed that may have run"),
    CALL_CUT(406, Level.WARN, "an answer was aborted before its end"),
    CALLER_GONE(407, Level.INFO, "a caller disconnected before its answer was complete"),
    READINESS_CHANGED(408, Level.INFO, "the host's readiness changed"),
    SUSPECT_QUARANTINED(
            409,
            Level.WARN,
            "a request or a part of prompts was quarantined, because it crashes targets"),
    CALL_HELD(411, Level.INFO, "a request waits until the limit of a target allows it"),
    CALL_SHED(412, Level.INFO, "a request was refused while targets were contended"),
    SPEED_TOLD(413, Level.INFO, "a service's targets have begun to tell their speed"),
    SUSPECT_RELEASED(410, Level.INFO, "a request or a part of prompts is no longer quarantined"),

    // 500-599: agent and admission

    // 600-699: jobs
    ITEMS_IN_DOUBT(600, Level.WARN, "items that may have run need an operator's decision"),
    JOB_CALL_ANSWERED(601, Level.INFO, "an API call on a batch job was answered"),
    ITEM_SENT(602, Level.INFO, "a batch item was sent to a target"),
    ITEM_TRY_ENDED(603, Level.INFO, "an attempt at a batch item ended without complete output"),
    ITEM_REPORTED(604, Level.INFO, "a batch item's outcome was reported"),
    ITEM_BEGUN_ANEW(
            605, Level.INFO, "a batch item's output was discarded: not resumable, or too long"),

    // 700-799: network
    PEER_CONNECTED(700, Level.INFO, "a peer connected"),
    PEER_LOST(701, Level.WARN, "a peer's connection was lost"),
    PEER_REFUSED(702, Level.WARN, "a peer's connection was refused"),
    FRAME_MALFORMED(703, Level.WARN, "a malformed frame closed a connection"),
    PEER_SILENT(704, Level.WARN, "a peer that stopped responding was disconnected"),
    PEER_OVERFLOW(705, Level.WARN, "messages to a peer were dropped: too many unsent bytes"),
    CONNECTIONS_FULL(706, Level.WARN, "a connection was refused: too many are open"),
    CALLER_CUT(707, Level.WARN, "a caller that did not read its answer was disconnected"),
    REQUEST_REFUSED(708, Level.INFO, "a request was refused before it was routed"),
    TARGET_UNSOLICITED(709, Level.WARN, "a target sent data that answers no request"),
    HANDLER_FAILED(710, Level.ERROR, "a connection was closed after an exception in its handler"),
    CLIENT_ENDED(711, Level.WARN, "a client without a complete request gave way to others");

    /** Severity of an event. */
    public enum Level {
        /** A normal state change. */
        INFO,
        /** May need an operator's attention. */
        WARN,
        /** Needs an operator's attention. */
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

    /** Returns the number that identifies the event in log lines. */
    public int number() {
        return mNumber;
    }

    /** Returns the severity of the event. */
    public Level level() {
        return mLevel;
    }

    /** Returns a description of the event, which log lines carry as {@code what}. */
    public String text() {
        return mText;
    }
}
