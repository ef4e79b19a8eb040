package org.coltsfootproxy.node;

import static com.google.common.base.Preconditions.checkNotNull;

/** One named value of a log line; numbers are written as text. */
public record LogField(String name, String value) {
    /** Checks the parts. */
    public LogField {
        checkNotNull(name, "name");
        checkNotNull(value, "value of %s is missing", name);
    }

    /** Returns a field with the value's text. */
    public static LogField of(String name, Object value) {
        return new LogField(name, String.valueOf(value));
    }
}
