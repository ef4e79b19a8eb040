package org.coltsfootproxy.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/** Entry point of the program, which contains all roles and commands. */
public final class Main {
    private static final int SUCCESS = 0;
    private static final int NAME_WIDTH = 18;

    private final List<Command> mCommands;
    private final PrintStream mOut;
    private final PrintStream mErr;

    private Main(List<Command> commands, PrintStream out, PrintStream err) {
        mCommands = commands;
        mOut = out;
        mErr = err;
    }

    /** Runs the command that the arguments name and exits with its exit code. */
    public static void main(String[] args) {
        int code = new Main(Commands.all(), System.out, System.err).run(args);
        System.out.flush();
        if (code != SUCCESS) {
            System.exit(code);
        }
    }

    /** Runs the command that {@code args} name and returns its exit code. */
    static int run(String[] args, PrintStream out, PrintStream err) {
        return new Main(Commands.all(), out, err).run(args);
    }

    private int run(String[] args) {
        if (args.length == 0 || isHelp(args[0])) {
            return help(args);
        }
        Optional<Command> command =
                mCommands.stream().filter(c -> startsWith(args, c.name())).findFirst();
        if (command.isEmpty()) {
            mErr.println("coltsfootproxy: unknown command '" + String.join(" ", args) + "'");
            mErr.println("Run 'coltsfootproxy help' for the list of commands.");
            return ErrorKind.USAGE.exitCode();
        }
        return run(command.get(), args);
    }

    private static boolean isHelp(String arg) {
        return List.of("help", "--help", "-h").contains(arg);
    }

    private static boolean startsWith(String[] args, String name) {
        String[] words = name.split(" ");
        return args.length >= words.length
                && Arrays.equals(Arrays.copyOf(args, words.length), words);
    }

    private int run(Command command, String[] args) {
        int words = command.name().split(" ").length;
        String[] commandArgs = Arrays.copyOfRange(args, words, args.length);
        if (Stream.of(commandArgs).anyMatch(arg -> arg.equals("--help") || arg.equals("-h"))) {
            describe(command);
            return SUCCESS;
        }
        try {
            CommandLine line = new DefaultParser().parse(allOptions(command), commandArgs);
            command.run(line, Output.of(mOut, isJson(line)));
            return SUCCESS;
        } catch (ParseException e) {
            mErr.println("coltsfootproxy " + command.name() + ": " + e.getMessage());
            mErr.println("Run 'coltsfootproxy " + command.name() + " --help' for its options.");
            return ErrorKind.USAGE.exitCode();
        } catch (ProxyException e) {
            mErr.println("coltsfootproxy: " + e.kind().label() + ": " + e.getMessage());
            return e.kind().exitCode();
        }
    }

    private static boolean isJson(CommandLine line) throws ParseException {
        String output = line.getOptionValue("output", "text");
        if (!List.of("text", "json").contains(output)) {
            throw new ParseException("--output must be text or json, not " + output);
        }
        return output.equals("json");
    }

    private static Options allOptions(Command command) {
        Options options = new Options();
        command.options().getOptions().forEach(options::addOption);
        options.addOption(
                Option.builder("o")
                        .longOpt("output")
                        .hasArg()
                        .argName("FORMAT")
                        .desc("text or json")
                        .get());
        options.addOption("h", "help", false, "show this help");
        return options;
    }

    private int help(String[] args) {
        String name =
                String.join(" ", Arrays.copyOfRange(args, Math.min(1, args.length), args.length));
        Optional<Command> command =
                mCommands.stream().filter(c -> c.name().equals(name)).findFirst();
        if (command.isPresent()) {
            describe(command.get());
            return SUCCESS;
        }
        mOut.println("Usage: coltsfootproxy COMMAND [OPTIONS] [ARGUMENTS]");
        mOut.println();
        mCommands.forEach(c -> mOut.println("  " + pad(c.name()) + c.summary()));
        mOut.println();
        mOut.println("Run 'coltsfootproxy COMMAND --help' for the options of a command.");
        mOut.println("Exit codes: 0 success; others by error kind, see docs/ERRORS.md.");
        return SUCCESS;
    }

    private static String pad(String name) {
        return name + " ".repeat(Math.max(1, NAME_WIDTH - name.length()));
    }

    private void describe(Command command) {
        mOut.println(
                "Usage: coltsfootproxy " + command.name() + " [OPTIONS] " + command.arguments());
        mOut.println(command.summary());
        mOut.println();
        allOptions(command).getOptions().stream().map(Main::describe).forEach(mOut::println);
    }

    private static String describe(Option option) {
        String value = option.hasArg() ? " " + option.getArgName() : "";
        return String.format(
                "  -%s, --%-22s %s",
                option.getOpt(), option.getLongOpt() + value, option.getDescription());
    }
}
