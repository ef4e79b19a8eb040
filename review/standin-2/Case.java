import java.nio.file.Path;
import java.util.Map;

/**
 * Runs one case: {@code Case NAME RECORD}. Exits with 1 if the rule was broken, 0 if it held, and 2
 * if the case couldn't run. With {@code TROUBLE=0} in the environment there is no disruption.
 */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Time after which a case is given up, below the limit of 120 s. */
    private static final long LIMIT_MILLIS = 117_000;

    /** What a case does with its fleet; returns the exit status. */
    interface Play {
        int play(boolean isTrouble, Fleet fleet, Record record) throws Exception;
    }

    /** A case and the number of machines that it needs. */
    record Setup(int fronts, int cores, int stores, Play play) {}

    private static final Map<String, Setup> CASES =
            Map.of(
                    "full-stores", new Setup(4, 3, 4, FullStores::play),
                    "stranded", new Setup(2, 3, 3, Stranded::play),
                    "never-founded", new Setup(2, 3, 3, NeverFounded::play),
                    "large-bodies", new Setup(2, 3, 3, LargeBodies::play),
                    "upgraded", new Setup(2, 3, 3, Upgraded::play));

    private Case() {}

    public static void main(String[] args) {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        Setup setup = CASES.get(args[0]);
        giveUpLater();
        int status = NOT_RUN;
        try (Record record = new Record(Path.of(args[1]))) {
            record.say(args[0] + (isTrouble ? " with" : " without") + " the disruption");
            try (Fleet fleet = new Fleet(setup.fronts(), setup.cores(), setup.stores(), record)) {
                status = setup.play().play(isTrouble, fleet, record);
            }
            record.say("exit status " + status);
        } catch (Exception | Error e) {
            e.printStackTrace();
            status = NOT_RUN;
        }
        System.exit(status);
    }

    /** Ends the program at its limit; its processes are ended with it. */
    private static void giveUpLater() {
        Thread thread =
                new Thread(
                        () -> {
                            Fleet.sleep(LIMIT_MILLIS);
                            System.out.println("given up after " + LIMIT_MILLIS + " ms");
                            System.exit(NOT_RUN);
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
