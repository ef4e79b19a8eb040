package org.coltsfootproxy.idempotency;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An answer kept for resends.
 *
 * @param isWhole whether the body is kept; if not, a resend learns that the request has run and
 *     that its answer was too large to keep
 */
public record StoredAnswer(int status, String contentType, byte[] body, boolean isWhole) {
    /** Checks the parts. */
    public StoredAnswer {
        checkNotNull(contentType, "content type");
        checkNotNull(body, "body");
    }

    /** Returns this answer, without its body if that is larger than {@code maxBytes}. */
    StoredAnswer boundedTo(int maxBytes) {
        return body.length <= maxBytes
                ? this
                : new StoredAnswer(status, contentType, new byte[0], false);
    }
}
