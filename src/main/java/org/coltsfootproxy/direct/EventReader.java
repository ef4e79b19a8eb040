package org.coltsfootproxy.direct;

import com.google.common.primitives.Longs;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events and checks that they go on where the
 * events before have ended.
 *
 * <p>Ids of events increase, and a stream that is resumed after event n goes on at n + 1. Ids that
 * are not whole numbers can't be checked.
 *
 * <p>An event ends at an empty line. Lines end with a line feed or with a carriage return and a
 * line feed.
 */
final class EventReader {
    /**
     * Bytes without the end of an event above which a stream is not read any further; many times
     * the size of any sound event.
     */
    static final int MAX_EVENT_BYTES = 256 << 10;

    private static final byte[] NO_EVENTS = {};
    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data:";
    private static final String COMMENT = ":";

    private ByteArrayOutputStream mPartial = new ByteArrayOutputStream();
    private boolean mIsLineEmpty = true;

    /** Bytes received since an event ended, including comments and empty lines. */
    private long mBytesSinceEvent;

    private Optional<String> mLastId = Optional.empty();
    private long mAdvances;
    private long mAdvancesBefore;
    private Optional<String> mFault = Optional.empty();
    private Optional<String> mEmptyAfter = Optional.empty();

    /** Sets the id of the last event that was received before this stream. */
    void resumeAfter(String id) {
        mLastId = Optional.of(id);
    }

    /**
     * Appends bytes and returns the events that are now complete; empty if there is none, or if one
     * of them does not follow the events before.
     */
    byte[] append(byte[] bytes) {
        if (mFault.isPresent()) {
            return NO_EVENTS;
        }
        mBytesSinceEvent += bytes.length;
        int end = endOfLastEvent(bytes);
        if (end == 0) {
            mPartial.writeBytes(bytes);
            return NO_EVENTS;
        }
        mPartial.write(bytes, 0, end);
        byte[] complete = mPartial.toByteArray();
        // Not reset, since the array of a large event would stay.
        mPartial = new ByteArrayOutputStream(bytes.length - end);
        mPartial.write(bytes, end, bytes.length - end);
        List<String> ids = fields(complete, ID_FIELD);
        mFault = firstFault(ids);
        if (mFault.isPresent()) {
            return NO_EVENTS;
        }
        boolean hasEvent = !ids.isEmpty() || hasEvent(complete);
        if (hasEvent) {
            mBytesSinceEvent = mPartial.size();
        }
        if (!ids.isEmpty() || mLastId.isEmpty() && hasEvent) {
            mAdvances++;
        }
        mLastId = ids.isEmpty() ? mLastId : Optional.of(ids.get(ids.size() - 1));
        return complete;
    }

    private Optional<String> firstFault(List<String> ids) {
        Optional<String> last = mLastId;
        boolean isResumed = last.isPresent() && !hasAdvanced();
        for (String id : ids) {
            Long number = Longs.tryParse(id);
            Long former = last.map(Longs::tryParse).orElse(null);
            boolean isChecked = number != null && former != null;
            if (isChecked && (number <= former || isResumed && number != former + 1)) {
                return Optional.of("event " + id + " came after event " + former);
            }
            isResumed = false;
            last = Optional.of(id);
        }
        return Optional.empty();
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

    private static List<String> fields(byte[] events, String field) {
        return lines(events)
                .filter(line -> line.startsWith(field))
                .map(line -> line.substring(field.length()).strip())
                .toList();
    }

    private static java.util.stream.Stream<String> lines(byte[] events) {
        return new String(events, StandardCharsets.UTF_8).lines();
    }

    /** Returns whether there is an event, and not only comments. */
    private static boolean hasEvent(byte[] events) {
        return lines(events).anyMatch(line -> !line.isEmpty() && !line.startsWith(COMMENT));
    }

    /**
     * Returns the data lines of complete events, joined by line feeds; empty if there are none, as
     * in comments.
     */
    static Optional<String> data(byte[] events) {
        List<String> data =
                lines(events)
                        .filter(line -> line.startsWith(DATA_FIELD))
                        .map(line -> line.substring(DATA_FIELD.length()))
                        .map(text -> text.startsWith(" ") ? text.substring(1) : text)
                        .toList();
        return data.isEmpty() ? Optional.empty() : Optional.of(String.join("\n", data));
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

    /**
     * Returns why the current target's stream can't be read any further: an event that does not
     * follow those before, or too many bytes without the end of one; empty if it can.
     */
    Optional<String> fault() {
        return mBytesSinceEvent > MAX_EVENT_BYTES
                ? Optional.of("no event has ended within " + MAX_EVENT_BYTES + " bytes")
                : mFault;
    }

    /** Returns the bytes of an event that has begun and not ended. */
    int unfinishedBytes() {
        return mPartial.size();
    }

    /** Returns whether an event has begun and not ended. */
    private boolean hasPartialEvent() {
        return mPartial.size() > 0;
    }

    /** Begins the stream of another target; discards an event that the former one has begun. */
    void beginStream() {
        mAdvancesBefore = mAdvances;
        mFault = Optional.empty();
        mBytesSinceEvent = 0;
        mPartial = new ByteArrayOutputStream();
        mIsLineEmpty = true;
    }
}
