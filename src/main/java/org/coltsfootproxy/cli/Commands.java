package org.coltsfootproxy.cli;

import java.util.List;
import java.util.stream.Stream;

/** Lists all commands, in the order of the help text. */
final class Commands {
    private Commands() {}

    static List<Command> all() {
        return Stream.of(
                        DemoCommand.all(),
                        FleetDemoCommand.all(),
                        ServeCommands.all(),
                        FakeTargetCommand.all(),
                        KeyCommands.all(),
                        ControlCommands.all(),
                        JobCommands.all(),
                        LoadCommand.all())
                .flatMap(List::stream)
                .toList();
    }
}
