package org.coltsfootproxy.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.coltsfootproxy.base.ProxyException;

/** One command of the command line. */
interface Command {
    /** Returns the words that name the command, such as {@code ticket apply}. */
    String name();

    /** Returns what stands for the arguments in the help, such as {@code FILE}. */
    String arguments();

    /** Returns one line that says what the command does. */
    String summary();

    /** Returns the options besides {@code --help}. */
    Options options();

    /**
     * Runs the command.
     *
     * @throws ProxyException whose kind decides the exit code
     */
    void run(CommandLine line, Output out) throws ProxyException;
}
