package org.coltsfootproxy.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/** Reads and validates the arguments of a command. */
final class Arguments {
    private static final String STANDARD_INPUT = "-";

    private Arguments() {}

    /**
     * Returns the single argument.
     *
     * @param what name of the argument for the error message
     * @throws ProxyException of kind {@link ErrorKind#USAGE} if there is not exactly one argument
     */
    static String single(CommandLine line, String what) throws ProxyException {
        if (line.getArgList().size() != 1) {
            String detail = "one " + what + " must be given, not " + line.getArgList().size();
            throw ProxyException.of(ErrorKind.USAGE, detail);
        }
        return line.getArgList().get(0);
    }

    /** Returns the content of a file, or of standard input if {@code file} is {@code -}. */
    static byte[] read(String file) throws ProxyException {
        try {
            return file.equals(STANDARD_INPUT)
                    ? System.in.readAllBytes()
                    : Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw ProxyException.of(ErrorKind.USAGE, file + " can't be read", e);
        }
    }

    /** Returns the value of an integer option, or a default if the option is absent. */
    static long number(CommandLine line, String option, long defaultValue) throws ProxyException {
        String text = line.getOptionValue(option);
        try {
            return text == null ? defaultValue : Long.parseLong(text);
        } catch (NumberFormatException e) {
            String detail = "--" + option + " must be a whole number, not " + text;
            throw ProxyException.of(ErrorKind.USAGE, detail, e);
        }
    }
}
