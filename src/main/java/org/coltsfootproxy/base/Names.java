package org.coltsfootproxy.base;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.regex.Pattern;

/** Validates names that operators and callers choose. */
public final class Names {
    /** Maximum length of a name in characters. */
    public static final int MAX_LENGTH = 128;

    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:@-]*");

    private Names() {}

    /**
     * Returns {@code value} if it is a valid name.
     *
     * @param what description of the named object, for the error message
     * @throws IllegalArgumentException if the value is empty, too long or has characters other than
     *     ASCII letters, digits, dot, underscore, colon, at sign and hyphen, or doesn't start with
     *     a letter or digit
     */
    public static String check(String value, String what) {
        checkNotNull(value, "%s is missing", what);
        checkArgument(isValid(value), "%s '%s' is not a valid name", what, value);
        return value;
    }

    /** Returns whether {@code value} is a valid name. */
    public static boolean isValid(String value) {
        return value.length() <= MAX_LENGTH && PATTERN.matcher(value).matches();
    }
}
