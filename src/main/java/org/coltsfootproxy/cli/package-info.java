/**
 * The command line interface. {@code Main} parses the arguments and runs one of the commands that
 * {@code Commands} lists; each {@code Command} writes its result to an {@code Output}, as text or
 * as JSON. An error ends the process with the exit code of its {@link
 * org.coltsfootproxy.base.ErrorKind}.
 */
package org.coltsfootproxy.cli;
