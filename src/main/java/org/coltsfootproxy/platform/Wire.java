package org.coltsfootproxy.platform;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.message.Header;

/** Names that the platform uses in headers, and how headers are read. */
final class Wire {
    /** The caller's name of a request, of a batch job or of an item; the answer repeats it. */
    static final String REQUEST_ID = "Request-Id";

    /** Milliseconds for which the sender of a call waits for its answer. */
    static final String DEADLINE_MS = "Deadline-Ms";

    /** The life of a target that a call is meant for. */
    static final String TARGET_INSTANCE = "Target-Instance";

    /** The organisation for which a call runs. */
    static final String TENANT = "Tenant";

    /** The last event that the sender of a call has received. */
    static final String LAST_EVENT_ID = "Last-Event-Id";

    /** Stands in answers of targets that have not run the call. */
    /** Signature of a target on its answers. */
    static final String SERVER_STAMP = "Server-Stamp";

    static final String NOT_RUN = "Not-Run";

    /** Running requests, waiting requests and slots of a target, separated by commas. */
    static final String SERVER_LOAD = "Server-Load";

    /** Milliseconds for which a reader of results may be kept waiting. */
    static final String WAIT_MS = "Wait-Ms";

    static final String HOST = "Host";

    private Wire() {}

    static Optional<String> value(List<Header> headers, String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(header -> header.value().strip())
                .findFirst();
    }

    static boolean has(List<Header> headers, String name) {
        return value(headers, name).isPresent();
    }

    /**
     * Returns a number of milliseconds.
     *
     * @param otherwise what holds if the header is missing
     */
    static long millis(List<Header> headers, String name, long otherwise) throws ProxyException {
        Optional<String> text = value(headers, name);
        if (text.isEmpty()) {
            return otherwise;
        }
        try {
            return Math.max(0, (long) Double.parseDouble(text.get()));
        } catch (NumberFormatException e) {
            throw malformed(name + " '" + text.get() + "' is not a number", e);
        }
    }

    static ProxyException malformed(String detail, Throwable cause) {
        return ProxyException.of(ErrorKind.MALFORMED_REQUEST, detail, cause);
    }
}
