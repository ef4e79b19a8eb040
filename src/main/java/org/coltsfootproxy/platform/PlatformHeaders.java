package org.coltsfootproxy.platform;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.message.Header;

/** The platform's header names, and helpers that read headers. */
final class PlatformHeaders {
    /** The caller's id of a request, batch job or item; the response repeats it. */
    static final String REQUEST_ID = "Request-Id";

    /** Remaining time, in milliseconds, for which the sender waits for the response. */
    static final String DEADLINE_MS = "Deadline-Ms";

    /** Id of the target that a call is meant for; another target at the address refuses it. */
    static final String TARGET_INSTANCE = "Target-Instance";

    /** The organisation on whose behalf a call runs. */
    static final String TENANT = "Tenant";

    /** Id of the last event that the sender has received; the stream resumes after it. */
    static final String LAST_EVENT_ID = "Last-Event-Id";

    /**
     * In a call that takes up a stream: {@link #REQUEST_ID} of the call that brought its first
     * event.
     */
    static final String RESUMES = "Resumes";

    /** Signature of the target that ran the call; a success without it is not accepted. */
    static final String SERVER_STAMP = "Server-Stamp";

    /** Present if the target refused the call and has not run it. */
    static final String NOT_RUN = "Not-Run";

    /**
     * The parts of the prompt in their order, each as an id, a colon and its number of tokens,
     * separated by commas; the last part belongs to the request or its session alone.
     */
    static final String PROMPT_PREFIX = "Prompt-Prefix";

    /** Tokens of the prompt and the most tokens of the output, separated by a comma. */
    static final String TOKEN_COUNT = "Token-Count";

    /** The caller's estimate of the tokens of the output. */
    static final String LENGTH_HINT = "Length-Hint";

    /**
     * A target's running requests, waiting requests and slots, separated by commas; some targets
     * add how long work takes there now, in percent of the usual time.
     */
    static final String SERVER_LOAD = "Server-Load";

    /** Set to 1 by a target that is leaving, in all its answers. */
    static final String SERVER_LEAVING = "Server-Leaving";

    /**
     * Requests a second that a target in need takes from all hosts together, as a decimal number.
     */
    static final String SERVER_LIMIT = "Server-Limit";

    /** Time in milliseconds for which a target is still cold; 0 if it is not. */
    static final String COLD_MS = "Cold-Ms";

    /** Longest time, in milliseconds, that a read of results may wait for the next result. */
    static final String WAIT_MS = "Wait-Ms";

    static final String HOST = "Host";

    private PlatformHeaders() {}

    static Optional<String> value(List<Header> headers, String name) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(name))
                .map(header -> header.value().strip())
                .findFirst();
    }

    /** Returns the lower-case host name of a request, without its port; empty if it has none. */
    static String hostName(List<Header> headers) {
        return value(headers, HOST).orElse("").replaceFirst(":\\d+$", "").toLowerCase(Locale.ROOT);
    }

    static boolean has(List<Header> headers, String name) {
        return value(headers, name).isPresent();
    }

    /**
     * Reads a header that holds milliseconds; negative values count as 0.
     *
     * @param defaultMillis value if the header is missing
     */
    static long millis(List<Header> headers, String name, long defaultMillis)
            throws ProxyException {
        Optional<String> text = value(headers, name);
        if (text.isEmpty()) {
            return defaultMillis;
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
