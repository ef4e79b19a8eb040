package org.coltsfootproxy.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.FatalErrors;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.runtime.EventLog;
import org.coltsfootproxy.runtime.HostProcess;
import org.coltsfootproxy.runtime.Settings;
import org.coltsfootproxy.runtime.SoleVoterRecovery;

/** Commands that run hosts and check their settings. */
final class ServeCommands {
    private ServeCommands() {}

    static List<Command> all() {
        return List.of(
                new SimpleCommand(
                        "serve",
                        "",
                        "run the hosts that settings files describe until stopped",
                        settingsOption(),
                        ServeCommands::serve),
                new SimpleCommand(
                        "check-settings",
                        "",
                        "check settings files without starting anything",
                        settingsOption(),
                        ServeCommands::checkSettings),
                new SimpleCommand(
                        "member recover",
                        "",
                        "after a quorum of disks is lost: make this stopped host the only voter",
                        settingsOption()
                                .addOption("y", "yes", false, "what only lost hosts had is gone"),
                        ServeCommands::recover));
    }

    private static Options settingsOption() {
        return new Options()
                .addOption(
                        Option.builder("s")
                                .longOpt("settings")
                                .hasArgs()
                                .argName("FILE")
                                .required()
                                .desc("settings of a host; may be given several times")
                                .get());
    }

    private static List<Settings> load(CommandLine line) throws ProxyException {
        List<Settings> all = new ArrayList<>();
        List<String> errors = new ArrayList<>();
        for (String file : line.getOptionValues("settings")) {
            try {
                all.add(Settings.load(Path.of(file)));
            } catch (ProxyException e) {
                errors.add(e.getMessage());
            }
        }
        if (!errors.isEmpty()) {
            throw ProxyException.of(ErrorKind.SETTINGS_INVALID, String.join("\n", errors));
        }
        return all;
    }

    private static void checkSettings(CommandLine line, Output out) throws ProxyException {
        List<Settings> all = load(line);
        ObjectNode answer = Output.object();
        answer.put("valid", all.size());
        out.value(answer);
    }

    private static void recover(CommandLine line, Output out) throws ProxyException {
        if (!line.hasOption("yes")) {
            String detail =
                    "data that only the lost hosts had synced is lost for good; confirm with --yes";
            throw ProxyException.of(ErrorKind.USAGE, detail);
        }
        List<Settings> all = load(line);
        if (all.size() != 1) {
            String detail =
                    "exactly one surviving host can be recovered; " + all.size() + " were given";
            throw ProxyException.of(ErrorKind.USAGE, detail);
        }
        ObjectNode answer = Output.object();
        answer.put("host", all.get(0).host().value());
        answer.put("groups", SoleVoterRecovery.makeOnlyVoter(all.get(0)));
        out.value(answer);
    }

    private static void serve(CommandLine line, Output out) throws ProxyException {
        HangupSignal hangup = HangupSignal.handle();
        List<Settings> settings = load(line);
        EventLog.writeTo(System.out);
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> FatalErrors.end(error));
        Hosts hosts = Hosts.start(settings);
        hosts.watch(hangup, line.getOptionValues("settings"));
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(hosts, stopped), "stop"));
        out.line("serving " + String.join(" ", Arrays.asList(line.getOptionValues("settings"))));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void stop(Hosts hosts, CountDownLatch stopped) {
        hosts.stop();
        stopped.countDown();
    }

    /** The hosts that run in this process. */
    static final class Hosts {
        private final List<HostProcess> mRunning = new ArrayList<>();

        private Hosts() {}

        /** Starts hosts in the given order; if one fails to start, stops those already started. */
        static Hosts start(List<Settings> settings) throws ProxyException {
            Hosts hosts = new Hosts();
            for (Settings hostSettings : settings) {
                try {
                    hosts.mRunning.add(HostProcess.start(hostSettings));
                } catch (ProxyException e) {
                    hosts.stop();
                    throw e;
                }
            }
            return hosts;
        }

        /**
         * Watches the settings files and applies their changes. A SIGHUP makes all hosts reload
         * them at once.
         */
        void watch(HangupSignal hangup, String... files) throws ProxyException {
            for (int i = 0; i < files.length; i++) {
                mRunning.get(i).watch(Path.of(files[i]));
            }
            List<HostProcess> watching = List.copyOf(mRunning);
            hangup.passOn(() -> watching.forEach(HostProcess::checkSettingsNow));
        }

        /** Stops the hosts gracefully, in reverse order of their start. */
        void stop() {
            Collections.reverse(mRunning);
            for (HostProcess host : mRunning) {
                try {
                    host.stop();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
            mRunning.clear();
        }
    }
}
