package org.coltsfootproxy.config;

/** The kinds of objects in a configuration. */
public enum ObjectKind {
    /** An organisation, see {@link Organisation}. */
    ORGANISATION("organisation", "organisations"),
    /** A key of an organisation, see {@link Key}. */
    KEY("key", "keys"),
    /** A service, see {@link Service}. */
    SERVICE("service", "services"),
    /** A route, see {@link Route}. */
    ROUTE("route", "routes"),
    /** An evacuation of a data centre, see {@link Evacuation}. */
    EVACUATION("evacuation", "evacuations");

    private final String mLabel;
    private final String mPlural;

    ObjectKind(String label, String plural) {
        mLabel = label;
        mPlural = plural;
    }

    /**
     * Returns whether tickets and documents set and remove objects of this kind. Others have
     * commands of their own and stay as they are when the whole configuration is replaced.
     */
    public boolean isSetByTickets() {
        return this != EVACUATION;
    }

    /** Returns the singular noun used in messages. */
    public String label() {
        return mLabel;
    }

    /** Returns the name of the list of this kind in tickets. */
    public String plural() {
        return mPlural;
    }
}
