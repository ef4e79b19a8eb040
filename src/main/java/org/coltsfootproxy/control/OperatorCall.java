package org.coltsfootproxy.control;

import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.config.Ticket;

/** An operator's call, decoded from a platform's own protocol. */
public sealed interface OperatorCall {
    /**
     * Replaces the whole configuration.
     *
     * @param ticket all objects of the new configuration
     * @param document the configuration as the operator wrote it
     */
    record ReplaceConfig(Ticket ticket, byte[] document) implements OperatorCall {
        /** Validates the components. */
        public ReplaceConfig {
            checkNotNull(ticket, "ticket is missing");
            checkNotNull(document, "document is missing");
        }
    }

    /** Reads the document that the current configuration was set from. */
    record ReadConfig() implements OperatorCall {}

    /** Orders that nothing more is sent to the targets of a data centre. */
    record EvacuateDataCentre(String name) implements OperatorCall {}

    /** Withdraws that order. */
    record EndEvacuation(String name) implements OperatorCall {}

    /** Retires a store: its jobs move to other hosts, so that it can be removed. */
    record RetireHost(String hostName) implements OperatorCall {}

    /** Reads whether the retirement of a store is complete. */
    record ReadRetirement(String hostName) implements OperatorCall {}
}
