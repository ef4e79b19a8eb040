package org.coltsfootproxy.config;

/** The kinds of objects that a configuration holds. */
public enum ObjectKind {
    /** An organisation, see {@link Organisation}. */
    ORGANISATION("organisation", "organisations"),
    /** A key of an organisation, see {@link Key}. */
    KEY("key", "keys"),
    /** A service, see {@link Service}. */
    SERVICE("service", "services"),
    /** A route, see {@link Route}. */
    ROUTE("route", "routes");

    private final String mLabel;
    private final String mPlural;

    ObjectKind(String label, String plural) {
        mLabel = label;
        mPlural = plural;
    }

    /** Returns the word for one object, for people. */
    public String label() {
        return mLabel;
    }

    /** Returns the name of the list in tickets. */
    public String plural() {
        return mPlural;
    }
}
