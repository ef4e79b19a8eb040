package org.coltsfootproxy.base;

import java.util.Locale;

/**
 * Error kinds, each with its HTTP status, exit code and title. The list is closed.
 *
 * <p>Every refusal or failure that a caller or operator sees has one of these kinds. A test
 * compares {@code docs/ERRORS.md} with this enum.
 */
public enum ErrorKind {
    MALFORMED_REQUEST(400, Ran.NO, 65, "The request is not valid"),
    UNAUTHENTICATED(401, Ran.NO, 77, "No key in force came with the request"),
    FORBIDDEN(403, Ran.NO, 77, "The key's organisation may not use this"),
    NO_ROUTE(404, Ran.NO, 66, "No route matches the path"),
    NOT_FOUND(404, Ran.NO, 66, "No such object"),
    METHOD_NOT_ALLOWED(405, Ran.NO, 65, "The method is not allowed here"),
    REQUEST_TIMEOUT(408, Ran.NO, 75, "The request did not arrive in time"),
    CONFLICT(409, Ran.NO, 73, "The same number or id was used with other content"),
    STALE(409, Ran.NO, 73, "A later ticket has set this object"),
    FENCED(409, Ran.NO, 73, "A newer order has replaced this one"),
    ALREADY_RUNNING(409, Ran.MAYBE, 73, "A request with this idempotency key is in progress"),
    BODY_TOO_LARGE(413, Ran.NO, 65, "The body is too large"),
    INVALID_TICKET(422, Ran.NO, 65, "The change ticket is not valid"),
    INVALID_JOB(422, Ran.NO, 65, "The batch job is not valid"),
    RATE_EXCEEDED(429, Ran.NO, 75, "The organisation is over its rate"),
    HEADERS_TOO_LARGE(431, Ran.NO, 65, "The headers are too large"),
    INTERNAL(500, Ran.MAYBE, 70, "The system failed"),
    TARGET_FAILED(502, Ran.MAYBE, 69, "The target failed"),
    ANSWER_LOST(502, Ran.MAYBE, 69, "The answer was lost"),
    ANSWER_CUT(502, Ran.YES, 69, "The answer broke off"),
    OVERLOADED(503, Ran.NO, 75, "No capacity is free in time"),
    NO_TARGET(503, Ran.NO, 69, "No target can take the request"),
    DATA_CENTRE_EVACUATED(503, Ran.NO, 69, "All data centres of the service are evacuated"),
    PROMPT_QUARANTINED(503, Ran.NO, 69, "A part of the prompt has crashed targets"),
    REQUEST_QUARANTINED(503, Ran.NO, 69, "The request has crashed targets"),
    STREAM_VERSION_UNAVAILABLE(
            503, Ran.NO, 69, "No target of the stream's version can go on with it"),
    REGION_UNAVAILABLE(503, Ran.NO, 69, "Nothing in the allowed regions can take the request"),
    CONFIG_STALE(503, Ran.NO, 69, "The configuration can't be confirmed as current"),
    NO_LEADER(503, Ran.NO, 69, "No control host can commit now"),
    COMMIT_UNKNOWN(503, Ran.MAYBE, 69, "The outcome of the commit is unknown; send it again"),
    STOPPING(503, Ran.NO, 75, "The host is stopping"),
    DEADLINE_EXCEEDED(504, Ran.NO, 75, "The deadline passed before the request ran"),
    TARGET_TIMEOUT(504, Ran.MAYBE, 75, "The target did not answer in time"),
    STORAGE_FULL(507, Ran.NO, 74, "The disk is full"),
    CANCELLED(499, Ran.MAYBE, 75, "The caller gave up"),
    STORAGE_DAMAGED(500, Ran.NO, 74, "A file of the data folder is damaged"),
    SETTINGS_INVALID(500, Ran.NO, 78, "The settings are not valid"),
    USAGE(400, Ran.NO, 64, "The command line is not valid");

    private final int mStatus;
    private final Ran mRan;
    private final int mExitCode;
    private final String mTitle;

    ErrorKind(int status, Ran ran, int exitCode, String title) {
        mStatus = status;
        mRan = ran;
        mExitCode = exitCode;
        mTitle = title;
    }

    /** Returns the HTTP status of answers with this kind. */
    public int status() {
        return mStatus;
    }

    /**
     * Returns whether the request has run, as far as the kind implies. Used unless more is known.
     */
    public Ran ran() {
        return mRan;
    }

    /** Returns the exit code of a command that fails with this kind. */
    public int exitCode() {
        return mExitCode;
    }

    /** Returns the human-readable title. */
    public String title() {
        return mTitle;
    }

    /** Returns the name that answers carry: lower case with hyphens. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
