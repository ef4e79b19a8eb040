package org.coltsfootproxy.base;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Validates names that operators and callers choose. */
public final class Names {
    /** Maximum length of a name in characters. */
    public static final int MAX_LENGTH = 128;

    private static final String OTHER_CHARACTERS = "._:@-";

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
        // A plain loop, since each id that is decoded is checked.
        if (value.isEmpty() || value.length() > MAX_LENGTH || !isAlphanumeric(value.charAt(0))) {
            return false;
        }
        for (int i = 1; i < value.length(); i++) {
            char c = value.charAt(i);
            if (!isAlphanumeric(c) && OTHER_CHARACTERS.indexOf(c) < 0) {
                return false;
            }
        }
        return true;
    }

    private static boolean isAlphanumeric(char c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
    }
}
