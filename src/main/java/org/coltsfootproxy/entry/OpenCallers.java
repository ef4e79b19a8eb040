package org.coltsfootproxy.entry;

import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.Organisation;

/** The organisation of all callers of open routes, which require no key. */
public final class OpenCallers {
    /** Organisation whose capacity all these callers share; its id is not valid in a ticket. */
    public static final Organisation ORGANISATION =
            new Organisation(OrganisationId.of("open:callers"), 1, 1, 1);

    private OpenCallers() {}
}
