package org.coltsfootproxy.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootproxy.base.ProxyException;

/** A command that consists of its description and an action. */
record SimpleCommand(String name, String arguments, String summary, Options options, Action action)
        implements Command {
    /** The action of a command. */
    @FunctionalInterface
    interface Action {
        void run(CommandLine line, Output out) throws ProxyException;
    }

    @Override
    public void run(CommandLine line, Output out) throws ProxyException {
        action.run(line, out);
    }
}
