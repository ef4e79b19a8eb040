package org.coltsfootproxy.message;

/**
 * One HTTP header field.
 *
 * @param name field name as received
 * @param value field value
 */
public record Header(String name, String value) {
    /** Returns the header field with the given name and value. */
    public static Header of(String name, String value) {
        return new Header(name, value);
    }
}
