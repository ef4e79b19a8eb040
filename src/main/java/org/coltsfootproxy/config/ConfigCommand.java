package org.coltsfootproxy.config;

import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** A command in the replicated log of the configuration. */
public sealed interface ConfigCommand {
    RecordCodec<ConfigCommand> CODEC = RecordCodec.of(ConfigCommand.class);

    /** Returns the encoding of this command. */
    default byte[] encode() {
        return CODEC.encode(this);
    }

    /** Applies a ticket. */
    @WireCode(1)
    record ApplyTicket(Ticket ticket) implements ConfigCommand {}

    /**
     * Replaces the whole configuration with the objects of a ticket and removes all others. Has no
     * effect unless the ticket number is above that of the last such command.
     *
     * @param document the document as the operator sent it, kept so that it can be read back
     */
    @WireCode(2)
    record ReplaceAll(Ticket ticket, byte[] document) implements ConfigCommand {}

    /**
     * Evacuates a data centre, unless an order on it has taken effect after the one that this
     * command carries was given.
     *
     * @param basis version of the configuration at the host that received the order, when it did
     */
    @WireCode(3)
    record Evacuate(DataCentre dataCentre, long basis) implements ConfigCommand {}

    /**
     * Ends the evacuation of a data centre, under the same condition as {@link Evacuate}.
     *
     * @param basis version of the configuration at the host that received the order, when it did
     */
    @WireCode(4)
    record EndEvacuation(DataCentre dataCentre, long basis) implements ConfigCommand {}
}
