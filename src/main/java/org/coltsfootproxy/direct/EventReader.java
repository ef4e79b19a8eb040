package org.coltsfootproxy.direct;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events.
 *
 * <p>An event ends at an empty line. Lines end with a line feed or with a carriage return and a
 * line feed.
 */
final class EventReader {
    /** Size above which an event is not read any further; many times that of any sound event. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data:";
    private static final String COMMENT = ":";

    private final ByteArrayOutputStream mPartial = new ByteArrayOutputStream();
    private boolean mIsLineEmpty = true;
    private Optional<String> mLastId = Optional.empty();
    private long mAdvances;
    private long mAdvancesBefore;
    private Optional<String> mEmptyAfter = Optional.empty();

    /** Sets the id of the last event that was received before this stream. */
    void resumeAfter(String id) {
        mLastId = Optional.of(id);
    }

    /** Appends bytes and returns the events that are now complete; empty if there is none. */
    byte[] append(byte[] bytes) {
        int end = endOfLastEvent(bytes);
        if (end == 0) {
            mPartial.writeBytes(bytes);
            return new byte[0];
        }
        mPartial.write(bytes, 0, end);
        byte[] complete = mPartial.toByteArray();
        mPartial.reset();
        mPartial.write(bytes, end, bytes.length - end);
        Optional<String> id = lastField(complete, ID_FIELD).or(() -> mLastId);
        if (hasEvent(complete) && (id.isEmpty() || !id.equals(mLastId))) {
            mAdvances++;
        }
        mLastId = id;
        return complete;
    }

    /** Returns the index after the last event that ends in the bytes; 0 if none ends. */
    private int endOfLastEvent(byte[] bytes) {
        int end = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                end = mIsLineEmpty && mPartial.size() + i > 0 ? i + 1 : end;
                mIsLineEmpty = true;
            } else if (bytes[i] != '\r') {
                mIsLineEmpty = false;
            }
        }
        return end;
    }

    private static Optional<String> lastField(byte[] events, String field) {
        return lines(events)
                .filter(line -> line.startsWith(field))
                .reduce((former, latter) -> latter)
                .map(line -> line.substring(field.length()).strip());
    }

    private static java.util.stream.Stream<String> lines(byte[] events) {
        return new String(events, StandardCharsets.UTF_8).lines();
    }

    /** Returns whether there is an event, and not only comments. */
    static boolean hasEvent(byte[] events) {
        return lines(events).anyMatch(line -> !line.isEmpty() && !line.startsWith(COMMENT));
    }

    /** Returns the data lines of complete events, joined by line feeds. */
    static String data(byte[] events) {
        return lines(events)
                .filter(line -> line.startsWith(DATA_FIELD))
                .map(line -> line.substring(DATA_FIELD.length()))
                .map(text -> text.startsWith(" ") ? text.substring(1) : text)
                .collect(java.util.stream.Collectors.joining("\n"));
    }

    /** Returns the last event id of the complete events. */
    Optional<String> lastId() {
        return mLastId;
    }

    /**
     * Returns a number that grows with each further event. Bytes of an event that does not end, and
     * comments between events, don't change it.
     */
    long advances() {
        return mAdvances;
    }

    /** Returns whether the current target has sent a complete event. */
    boolean hasAdvanced() {
        return mAdvances > mAdvancesBefore;
    }

    /**
     * Notes the end of the current target's stream; returns whether it ended too early: within an
     * event, or before the first one.
     *
     * <p>A stream that is resumed after its last event has none left. If only the end of the
     * connection tells so, the target may as well have crashed; then a further target has to
     * confirm it.
     *
     * @param isByClose whether only the end of the connection has ended the stream
     */
    boolean endsTooEarly(boolean isByClose) {
        if (hasPartialEvent()) {
            return true;
        }
        boolean isConfirmed = !isByClose || mEmptyAfter.equals(mLastId);
        boolean isEmpty = !hasAdvanced();
        mEmptyAfter = isEmpty ? mLastId : Optional.empty();
        return isEmpty && (mLastId.isEmpty() || !isConfirmed);
    }

    /** Returns whether the event that has begun is longer than any sound event. */
    boolean isTooLong() {
        return mPartial.size() > MAX_EVENT_BYTES;
    }

    /** Returns whether an event has begun and not ended. */
    private boolean hasPartialEvent() {
        return mPartial.size() > 0;
    }

    /** Begins the stream of another target; discards an event that the former one has begun. */
    void beginStream() {
        mAdvancesBefore = mAdvances;
        mPartial.reset();
        mIsLineEmpty = true;
    }
}
