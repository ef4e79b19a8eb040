package org.coltsfootproxy.cli;

import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.load.LoadReport;
import org.coltsfootproxy.load.LoadScenario;
import org.coltsfootproxy.load.LoadTool;

/** The command that runs a load scenario against a fleet on loopback and reports the results. */
final class LoadCommand {
    private LoadCommand() {}

    static List<Command> all() {
        Options options =
                new Options()
                        .addOption(
                                Option.builder("r")
                                        .longOpt("report")
                                        .hasArg()
                                        .argName("FOLDER")
                                        .desc("folder for the report as text, JSON and a page")
                                        .get());
        return List.of(
                new SimpleCommand(
                        "load",
                        "SCENARIO",
                        "send load by a scenario and check the promises; ends with 70 if one broke",
                        options,
                        LoadCommand::run));
    }

    private static void run(CommandLine line, Output out) throws ProxyException {
        LoadScenario scenario = LoadScenario.read(Path.of(Arguments.single(line, "SCENARIO")));
        LoadReport report = LoadTool.run(scenario, out.progress());
        if (line.hasOption("report")) {
            report.write(Path.of(line.getOptionValue("report")));
        }
        out.documentIfJson(report.toJson());
        if (!report.isKept()) {
            throw ProxyException.of(ErrorKind.INTERNAL, "a promise was broken");
        }
    }
}
