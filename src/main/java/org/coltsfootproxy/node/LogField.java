package org.coltsfootproxy.node;

import static com.google.common.base.Preconditions.checkNotNull;

/** A named value of a log line. Numbers are written as text. */
public record LogField(String name, String value) {
    /** Checks that no component is null. */
    public LogField {
        checkNotNull(name, "name");
        checkNotNull(value, "value of %s is missing", name);
    }

    /** Returns a field with the value's {@link String#valueOf(Object) string form}. */
    public static LogField of(String name, Object value) {
        return new LogField(name, String.valueOf(value));
    }
}
