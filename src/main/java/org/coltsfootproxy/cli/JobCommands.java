package org.coltsfootproxy.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.coltsfootproxy.base.ProxyException;

/** Batch job commands, which call an entry host with an organisation's key. */
final class JobCommands {
    private static final String JSON_LINES = "application/jsonl";

    private JobCommands() {}

    static List<Command> all() {
        return List.of(
                new SimpleCommand(
                        "job submit",
                        "FILE",
                        "submit a batch job of JSON Lines",
                        submitOptions(),
                        JobCommands::submit),
                new SimpleCommand(
                        "job list",
                        "",
                        "list the organisation's jobs",
                        HostClient.options(),
                        (line, out) -> out.document(HostClient.of(line).get("/v1/jobs"))),
                new SimpleCommand(
                        "job status",
                        "JOB",
                        "show how far a job is",
                        HostClient.options(),
                        (line, out) -> out.document(HostClient.of(line).get(jobPath(line)))),
                new SimpleCommand(
                        "job results",
                        "JOB",
                        "show a page of a job's results",
                        HostClient.options()
                                .addOption(
                                        Option.builder("f")
                                                .longOpt("from")
                                                .hasArg()
                                                .argName("ITEM")
                                                .desc("place of the first item, from 0")
                                                .get()),
                        JobCommands::results),
                new SimpleCommand(
                        "job cancel",
                        "JOB",
                        "stop a job",
                        HostClient.options(),
                        JobCommands::cancel));
    }

    private static Options submitOptions() {
        return HostClient.options()
                .addOption(required("i", "id", "JOB", "id of the job, chosen by you"))
                .addOption(required("p", "path", "PATH", "path that each item is posted to"))
                .addOption(required("d", "deadline", "TIME", "ISO 8601 time, or seconds from now"));
    }

    private static Option required(String name, String longName, String value, String text) {
        return Option.builder(name)
                .longOpt(longName)
                .hasArg()
                .argName(value)
                .required()
                .desc(text)
                .get();
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static String jobPath(CommandLine line) throws ProxyException {
        return "/v1/jobs/" + urlEncode(Arguments.single(line, "JOB"));
    }

    private static void submit(CommandLine line, Output out) throws ProxyException {
        byte[] items = Arguments.read(Arguments.single(line, "FILE"));
        String path =
                String.format(
                        "/v1/jobs?id=%s&service-path=%s&deadline=%s",
                        urlEncode(line.getOptionValue("id")),
                        urlEncode(line.getOptionValue("path")),
                        urlEncode(line.getOptionValue("deadline")));
        out.document(HostClient.of(line).send("POST", path, items, JSON_LINES));
    }

    private static void results(CommandLine line, Output out) throws ProxyException {
        long from = Arguments.number(line, "from", 0);
        byte[] lines = HostClient.of(line).get(jobPath(line) + "/results?from=" + from);
        out.stream().print(new String(lines, StandardCharsets.UTF_8));
    }

    private static void cancel(CommandLine line, Output out) throws ProxyException {
        out.document(HostClient.of(line).send("DELETE", jobPath(line), new byte[0], ""));
    }
}
