package org.coltsfootproxy.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.fake.FakeTarget;
import org.coltsfootproxy.fake.FakeTargetSettings;
import org.coltsfootproxy.runtime.Addresses;

/** The command that runs stand-in targets until the process is stopped. */
final class FakeTargetCommand {
    private FakeTargetCommand() {}

    static List<Command> all() {
        Options options =
                new Options()
                        .addOption(address(FakeTargetSettings.Mode.ENGINE, "a model engine"))
                        .addOption(address(FakeTargetSettings.Mode.PLAIN, "a plain service"))
                        .addOption(
                                "f", "fenced", false, "refuse orders with an old fencing number");
        return List.of(
                new SimpleCommand(
                        "fake-target",
                        "",
                        "run stand-in targets until stopped",
                        options,
                        FakeTargetCommand::run));
    }

    private static String name(FakeTargetSettings.Mode mode) {
        return mode.name().toLowerCase(Locale.ROOT);
    }

    private static Option address(FakeTargetSettings.Mode mode, String description) {
        return Option.builder(name(mode).substring(0, 1))
                .longOpt(name(mode))
                .hasArgs()
                .argName("IP:PORT")
                .desc("where " + description + " listens; may be given several times")
                .get();
    }

    private static void run(CommandLine line, Output out) throws ProxyException {
        List<FakeTarget> targets = new ArrayList<>();
        for (FakeTargetSettings.Mode mode : FakeTargetSettings.Mode.values()) {
            targets.addAll(start(line, mode));
        }
        if (targets.isEmpty()) {
            throw ProxyException.of(ErrorKind.USAGE, "--engine or --plain must be given");
        }
        targets.forEach(target -> out.line("listening at " + target.address()));
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static List<FakeTarget> start(CommandLine line, FakeTargetSettings.Mode mode)
            throws ProxyException {
        String[] addresses = line.getOptionValues(name(mode));
        List<FakeTarget> targets = new ArrayList<>();
        for (String address : addresses == null ? new String[0] : addresses) {
            if (!Addresses.isValid(address)) {
                throw ProxyException.of(
                        ErrorKind.USAGE, address + " is not an address of the form IP:PORT");
            }
            FakeTargetSettings settings = FakeTargetSettings.of(Addresses.parse(address), mode);
            targets.add(
                    FakeTarget.start(line.hasOption("fenced") ? settings.withFencing() : settings));
        }
        return targets;
    }
}
