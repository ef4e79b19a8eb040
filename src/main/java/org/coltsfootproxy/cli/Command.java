package org.coltsfootproxy.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootproxy.base.ProxyException;

/** A command of the command line. */
interface Command {
    /** Returns the words that name the command, such as {@code ticket apply}. */
    String name();

    /** Returns the placeholder for the arguments in the help text, such as {@code FILE}. */
    String arguments();

    /** Returns a one-line description for the help text. */
    String summary();

    /** Returns the options, without {@code --help} and {@code --output}. */
    Options options();

    /**
     * Runs the command.
     *
     * @throws ProxyException if the command fails; its kind determines the exit code
     */
    void run(CommandLine line, Output out) throws ProxyException;
}
