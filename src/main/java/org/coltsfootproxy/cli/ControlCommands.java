package org.coltsfootproxy.cli;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.coltsfootproxy.base.ProxyException;

/** Commands that call a control host: change tickets, configuration, members and fleet status. */
final class ControlCommands {
    private static final String YAML = "application/yaml";
    private static final String JSON = "application/json";

    private ControlCommands() {}

    static List<Command> all() {
        return List.of(
                command("ticket apply", "FILE", "apply a change ticket", ControlCommands::apply),
                command("ticket show", "NUMBER", "show a change ticket", ControlCommands::show),
                command(
                        "ticket list",
                        "",
                        "list the last change tickets",
                        (line, out) -> get(line, out, "/v1/tickets")),
                command(
                        "config show",
                        "",
                        "show the configuration in force",
                        (line, out) -> get(line, out, "/v1/config")),
                command(
                        "member change",
                        "FILE",
                        "add, replace or remove a control host",
                        ControlCommands::changeMember),
                command(
                        "status",
                        "",
                        "show leader, versions in force, leases and jobs",
                        (line, out) -> get(line, out, "/v1/status")));
    }

    private static Command command(
            String name, String arguments, String summary, SimpleCommand.Action action) {
        return new SimpleCommand(name, arguments, summary, HostClient.options(), action);
    }

    private static void get(CommandLine line, Output out, String path) throws ProxyException {
        out.document(HostClient.of(line).get(path));
    }

    private static void apply(CommandLine line, Output out) throws ProxyException {
        byte[] ticket = Arguments.read(Arguments.single(line, "FILE"));
        out.document(HostClient.of(line).send("POST", "/v1/tickets", ticket, YAML));
    }

    private static void show(CommandLine line, Output out) throws ProxyException {
        get(line, out, "/v1/tickets/" + Arguments.single(line, "NUMBER"));
    }

    private static void changeMember(CommandLine line, Output out) throws ProxyException {
        byte[] change = Arguments.read(Arguments.single(line, "FILE"));
        out.document(HostClient.of(line).send("POST", "/v1/members", change, JSON));
    }
}
