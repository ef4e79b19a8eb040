package org.coltsfootproxy.soak;

import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;

/**
 * Plays runs by hand: {@code java -cp ... org.coltsfootproxy.soak.SoakMain --seed 1 --width 3}.
 * With {@code KEEP} in the environment, the logs of the processes are kept.
 */
public final class SoakMain {
    private SoakMain() {}

    /** Exits with 1 if the rule was broken in a run. */
    public static void main(String[] args) throws Exception {
        Options options = new Options();
        options.addOption(null, "seed", true, "first seed");
        options.addOption(null, "runs", true, "number of seeds");
        options.addOption(null, "seconds", true, "time for which callers send");
        options.addOption(null, "width", true, "faults at a time, 0 for none");
        options.addOption(null, "load", true, "multiple of the usual rates");
        options.addOption(null, "queue", true, "requests that wait at a target");
        options.addOption(null, "poison", true, "fraction of the items that fail at each run");
        options.addOption(null, "bytes", true, "size of an item's body");
        options.addOption(null, "cases", true, "cases of each kind that are printed");
        options.addOption(null, "final-fault", false, "all are killed, one loses its disk");
        options.addOption(null, "build", true, "folder of a build to run");
        CommandLine line = new DefaultParser().parse(options, args);
        long first = Long.parseLong(line.getOptionValue("seed", "1"));
        long runs = Long.parseLong(line.getOptionValue("runs", "1"));
        boolean isBroken = false;
        for (long seed = first; seed < first + runs; seed++) {
            SoakPlan plan =
                    SoakPlan.calm(seed, Integer.parseInt(line.getOptionValue("seconds", "40")))
                            .withLoad(
                                    Double.parseDouble(line.getOptionValue("load", "1")),
                                    Integer.parseInt(line.getOptionValue("queue", "24")))
                            .withPoison(
                                    Double.parseDouble(line.getOptionValue("poison", "0.01")),
                                    Integer.parseInt(line.getOptionValue("bytes", "15000")))
                            .withFaults(Integer.parseInt(line.getOptionValue("width", "0")));
            if (line.hasOption("build")) {
                plan = plan.withBuild(Path.of(line.getOptionValue("build")));
            }
            if (line.hasOption("final-fault")) {
                plan = plan.withFinalFault();
            }
            System.out.println("== " + plan);
            int cases = Integer.parseInt(line.getOptionValue("cases", "3"));
            isBroken |= Soak.play(plan, System.out::println, cases).isBroken();
        }
        System.exit(isBroken ? 1 : 0);
    }
}
