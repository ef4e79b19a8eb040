package org.coltsfootproxy.net;

/** Thrown for received bytes that are no valid HTTP/1.1 message. */
final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidMessageException(String message) {
        // Peers can cause any number of these, so no stack trace is recorded.
        super(message, null, false, false);
    }
}
