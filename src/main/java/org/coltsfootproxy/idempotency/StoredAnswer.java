package org.coltsfootproxy.idempotency;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An answer that is stored for resends.
 *
 * @param isBodyStored whether the body is stored; if not, a resend learns that the request has run
 *     and that its answer was too large to store
 */
public record StoredAnswer(int status, String contentType, byte[] body, boolean isBodyStored) {
    /** Validates the components. */
    public StoredAnswer {
        checkNotNull(contentType, "content type");
        checkNotNull(body, "body");
    }

    /** Returns this answer, without its body if the body exceeds {@code maxBytes}. */
    StoredAnswer withBodyUpTo(int maxBytes) {
        return body.length <= maxBytes
                ? this
                : new StoredAnswer(status, contentType, new byte[0], false);
    }
}
