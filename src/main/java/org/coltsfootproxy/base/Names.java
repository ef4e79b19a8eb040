package org.coltsfootproxy.base;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.regex.Pattern;

/** Checks of names that operators choose. */
public final class Names {
    /** Longest name in characters. */
    public static final int MAX_LENGTH = 128;

    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:@-]*");

    private Names() {}

    /**
     * Returns {@code value} if it is a valid name.
     *
     * @param what what is named, for the error message
     * @throws IllegalArgumentException if the value is empty, too long or has other characters than
     *     letters, digits, dot, underscore, colon, at sign and hyphen
     */
    public static String check(String value, String what) {
        checkNotNull(value, "%s is missing", what);
        checkArgument(isValid(value), "%s '%s' is not a valid name", what, value);
        return value;
    }

    /** Tells whether {@code value} is a valid name. */
    public static boolean isValid(String value) {
        return value.length() <= MAX_LENGTH && PATTERN.matcher(value).matches();
    }
}
