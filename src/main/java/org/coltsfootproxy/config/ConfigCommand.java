package org.coltsfootproxy.config;

import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** A command of the configuration's replicated log. */
public sealed interface ConfigCommand {
    /** Encodes commands. */
    RecordCodec<ConfigCommand> CODEC = RecordCodec.of(ConfigCommand.class);

    /** Returns the encoding of this command. */
    default byte[] encode() {
        return CODEC.encode(this);
    }

    /** Apply a ticket. */
    @WireCode(1)
    record ApplyTicket(Ticket ticket) implements ConfigCommand {}

    /**
     * Replace the whole configuration, if the ticket's number is above that of the last such
     * command; objects that the ticket leaves out are removed.
     *
     * @param document what the operator wrote, kept for reading back
     */
    @WireCode(2)
    record ReplaceAll(Ticket ticket, byte[] document) implements ConfigCommand {}
}
