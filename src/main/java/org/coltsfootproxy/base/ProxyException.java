package org.coltsfootproxy.base;

import static com.google.common.base.Preconditions.checkNotNull;

/** A checked exception with an {@link ErrorKind} and a human-readable detail message. */
public final class ProxyException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorKind mKind;

    private ProxyException(ErrorKind kind, String detail, Throwable cause) {
        super(detail, cause);
        mKind = checkNotNull(kind, "kind");
    }

    /** Returns an exception of the given kind. */
    public static ProxyException of(ErrorKind kind, String detail) {
        return new ProxyException(kind, detail, null);
    }

    /** Returns an exception of the given kind and cause. */
    public static ProxyException of(ErrorKind kind, String detail, Throwable cause) {
        return new ProxyException(kind, detail, cause);
    }

    /** Returns the kind of the error. */
    public ErrorKind kind() {
        return mKind;
    }
}
