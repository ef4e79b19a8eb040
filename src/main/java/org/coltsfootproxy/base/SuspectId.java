package org.coltsfootproxy.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies what may crash targets: a part of prompts, or one request by its content. */
public record SuspectId(@JsonValue String value) implements Comparable<SuspectId> {
    /** Begins the ids of requests; a part's id has no colon. */
    private static final String REQUEST_PREFIX = "request:";

    /** Checks that the value is a {@linkplain Names#isValid valid name}. */
    public SuspectId {
        Names.check(value, "suspect id");
    }

    /** Returns the id with the given value. */
    @JsonCreator
    public static SuspectId of(String value) {
        return new SuspectId(value);
    }

    /** Returns the id of a part of prompts. */
    public static SuspectId ofPart(PromptPartId part) {
        return new SuspectId(part.value());
    }

    /**
     * Returns the id of a request.
     *
     * @param contentHash hash of its caller, path and body
     */
    public static SuspectId ofRequest(long contentHash) {
        return new SuspectId(REQUEST_PREFIX + Long.toHexString(contentHash));
    }

    /** Returns whether this is a request. */
    public boolean isRequest() {
        return value.startsWith(REQUEST_PREFIX);
    }

    @Override
    public int compareTo(SuspectId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
