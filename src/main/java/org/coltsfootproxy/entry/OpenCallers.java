package org.coltsfootproxy.entry;

import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.Organisation;

/** Stands for all callers of routes that are open to all. */
public final class OpenCallers {
    /** They share the capacity of one organisation; tickets can't name it. */
    public static final Organisation ORGANISATION =
            new Organisation(OrganisationId.of("open:callers"), 1, 1, 1);

    private OpenCallers() {}
}
