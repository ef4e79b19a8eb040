package org.coltsfootproxy.limit;

import java.util.Optional;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.Organisation;

/** Looks up rate and burst of an organisation in the configuration in force. */
@FunctionalInterface
public interface RateSource {
    /** Returns the organisation, or empty if it isn't configured. */
    Optional<Organisation> find(OrganisationId organisation);
}
