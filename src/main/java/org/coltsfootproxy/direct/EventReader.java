package org.coltsfootproxy.direct;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a series of server-sent events into whole events.
 *
 * <p>Events end at an empty line. A carriage return before a line feed belongs to the line's end.
 */
final class EventReader {
    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data:";

    private final ByteArrayOutputStream mPartial = new ByteArrayOutputStream();
    private boolean mIsLineEmpty = true;
    private Optional<String> mLastId = Optional.empty();

    /** Notes that events up to this one were taken by an earlier reader. */
    void goOnAfter(String id) {
        mLastId = Optional.of(id);
    }

    /** Takes bytes and returns the events that they make whole; empty if none. */
    byte[] take(byte[] bytes) {
        int end = endOfLastEvent(bytes);
        if (end == 0) {
            mPartial.writeBytes(bytes);
            return new byte[0];
        }
        mPartial.write(bytes, 0, end);
        byte[] whole = mPartial.toByteArray();
        mPartial.reset();
        mPartial.write(bytes, end, bytes.length - end);
        lastField(whole, ID_FIELD).ifPresent(id -> mLastId = Optional.of(id));
        return whole;
    }

    /** Returns the length of the bytes up to the end of the last event in them, 0 if none ends. */
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

    /** Returns the data of whole events, one after the other with a line feed between. */
    static String data(byte[] events) {
        return lines(events)
                .filter(line -> line.startsWith(DATA_FIELD))
                .map(line -> line.substring(DATA_FIELD.length()))
                .map(text -> text.startsWith(" ") ? text.substring(1) : text)
                .collect(java.util.stream.Collectors.joining("\n"));
    }

    /** Returns the id of the last whole event. */
    Optional<String> lastId() {
        return mLastId;
    }

    /** Tells whether an event has begun that has not ended. */
    boolean isInEvent() {
        return mPartial.size() > 0;
    }

    /** Forgets an event that has begun, as its target is lost. */
    void dropPartial() {
        mPartial.reset();
        mIsLineEmpty = true;
    }
}
