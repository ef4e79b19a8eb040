package org.coltsfootproxy.base;

import java.util.Locale;

/**
 * Exported metrics. The list is closed.
 *
 * <p>Each metric has the labels {@code organisation} and {@code class}, which are empty where they
 * don't apply. Times are in seconds.
 */
public enum Metric {
    REQUEST_SECONDS(Shape.HISTOGRAM, "Time from a request's arrival to the end of its answer"),
    FIRST_BYTE_SECONDS(Shape.HISTOGRAM, "Time from a request's arrival to its first answer byte"),
    REFUSALS(Shape.COUNTER, "Requests refused; the class label carries the error kind"),
    CONTENTION_DECISIONS(
            Shape.COUNTER,
            "Requests decided while targets were contended; the class label carries the verdict"),
    RETRIES(Shape.COUNTER, "Requests sent to a further agent"),
    QUEUE_SECONDS(Shape.HISTOGRAM, "Time that a request waited at an agent"),
    QUEUE_LENGTH(Shape.GAUGE, "Requests waiting at an agent"),
    IN_FLIGHT(Shape.GAUGE, "Requests at the target"),
    BATCH_STOPPED(Shape.COUNTER, "Batch items stopped for online requests"),
    ITEMS_COMPLETED(Shape.COUNTER, "Batch items completed"),
    ITEMS_WAITING(Shape.GAUGE, "Batch items that wait"),
    OLDEST_ITEM_SECONDS(Shape.GAUGE, "Age of the oldest waiting batch item"),
    JOBS_AT_RISK(Shape.GAUGE, "Jobs whose estimate is past their deadline"),
    CONFIG_VERSION(Shape.GAUGE, "Version of the configuration in force"),
    COMMIT_SECONDS(Shape.HISTOGRAM, "Time from a proposal to its commit"),
    LOG_BYTES(
            Shape.GAUGE,
            "Bytes of log entries in memory after the latest snapshot; the class label names the"
                    + " group"),
    SNAPSHOT_BYTES(
            Shape.GAUGE, "Bytes of state in the latest snapshot; the class label names the group"),
    RING_FULL(Shape.COUNTER, "Inputs refused because a ring was full"),
    FRAMES_MALFORMED(Shape.COUNTER, "Frames that closed their connection"),
    PEERS_REFUSED(Shape.COUNTER, "Peer connections refused at the handshake"),
    PEERS_SILENT(Shape.COUNTER, "Peer connections closed because they went silent"),
    PEER_MESSAGES_DROPPED(Shape.COUNTER, "Messages to peers dropped before they were sent"),
    CONNECTIONS_REFUSED(Shape.COUNTER, "Connections refused because too many were open"),
    QUARANTINED_PARTS(
            Shape.GAUGE,
            "Requests and parts of prompts that are refused because they crash targets"),
    COLD_TARGETS(Shape.GAUGE, "Targets that the list of targets shows as cold"),
    CALLERS_CUT(Shape.COUNTER, "Callers cut off because they did not read their answers"),
    CLIENT_BYTES(Shape.GAUGE, "Memory that all clients of the process occupy, as it is counted"),
    CLIENTS_ENDED(
            Shape.COUNTER,
            "Clients ended to make room for others; the class label tells whether memory or"
                    + " connections had run out"),
    DATA_CENTRES_EVACUATED(
            Shape.GAUGE, "Data centres that are evacuated by the configuration in force"),
    WORK_ERROR_SECONDS(
            Shape.HISTOGRAM,
            "Difference between the expected and the measured time of a call at its target; the"
                    + " class label tells what the expectation follows from");

    /** Type of a metric, as Prometheus defines it. */
    public enum Shape {
        /** A sum that never decreases. */
        COUNTER,
        /** A current value. */
        GAUGE,
        /** A distribution of values over buckets. */
        HISTOGRAM
    }

    private final Shape mShape;
    private final String mHelp;

    Metric(Shape shape, String help) {
        mShape = shape;
        mHelp = help;
    }

    /** Returns the type of the metric. */
    public Shape shape() {
        return mShape;
    }

    /** Returns the help text that is exported with the metric. */
    public String help() {
        return mHelp;
    }

    /** Returns the name under which the metric is exported. */
    public String exportedName() {
        return "coltsfootproxy_" + name().toLowerCase(Locale.ROOT);
    }
}
