package org.coltsfootproxy.control;

import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.config.Ticket;

/** What an operator's call by a platform's own protocol asks for. */
public sealed interface OperatorCall {
    /**
     * Replaces the whole configuration.
     *
     * @param ticket all objects of the new configuration
     * @param document the configuration as the operator wrote it
     */
    record ReplaceConfig(Ticket ticket, byte[] document) implements OperatorCall {
        /** Checks the parts. */
        public ReplaceConfig {
            checkNotNull(ticket, "ticket is missing");
            checkNotNull(document, "document is missing");
        }
    }

    /** Reads the document that set the configuration. */
    record ReadConfig() implements OperatorCall {}

    /** Has a store emptied, so that it can be taken away. */
    record RetireHost(String hostName) implements OperatorCall {}

    /** Asks whether a store that is to be emptied is empty. */
    record ReadRetirement(String hostName) implements OperatorCall {}
}
