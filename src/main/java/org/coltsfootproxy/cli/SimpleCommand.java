package org.coltsfootproxy.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootproxy.base.ProxyException;

/** A command made of its description and what it does. */
record SimpleCommand(String name, String arguments, String summary, Options options, Action action)
        implements Command {
    /** What a command does. */
    @FunctionalInterface
    interface Action {
        void run(CommandLine line, Output out) throws ProxyException;
    }

    @Override
    public void run(CommandLine line, Output out) throws ProxyException {
        action.run(line, out);
    }
}
