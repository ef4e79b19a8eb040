package org.coltsfootproxy.base;

import static com.google.common.base.Preconditions.checkNotNull;

/** The checked exception of the system: an error kind with a detail for people. */
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

    /** Returns an exception of the given kind with its cause. */
    public static ProxyException of(ErrorKind kind, String detail, Throwable cause) {
        return new ProxyException(kind, detail, cause);
    }

    /** Returns the kind of the error. */
    public ErrorKind kind() {
        return mKind;
    }
}
