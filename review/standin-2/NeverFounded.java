/**
 * One of the three core machines is lost for good while the system starts for the first time, and an
 * empty one takes its place at another address.
 */
final class NeverFounded {
    private static final long LOST_AFTER_MILLIS = 150;
    private static final long REPLACED_AFTER_MILLIS = 2_000;
    private static final long WAIT_MILLIS = 60_000;

    private NeverFounded() {}

    static int play(boolean isTrouble, Fleet fleet, Record record) throws Exception {
        fleet.list.add(
                new Replica(
                        "i-first0", "first", "solway", fleet.replicaAddress(), 8, 10, 10, record));
        fleet.start();
        if (isTrouble) {
            Fleet.sleep(LOST_AFTER_MILLIS);
            Fleet.Machine lost = fleet.machine("core", 2);
            fleet.kill(lost);
            Fleet.sleep(REPLACED_AFTER_MILLIS);
            record.say("replaced by " + fleet.replaceCore(lost).name);
        }
        boolean isConfigured =
                fleet.configure(Config.batch(3, "first", 18_000, 8), WAIT_MILLIS);
        boolean areCoresUp = fleet.all("core").allMatch(Fleet.Machine::isAlive);
        fleet.all("core").forEach(c -> record.say(c.name + (c.isAlive() ? " runs" : " is down")));
        if (isConfigured) {
            return fleet.awaitReady(15_000) ? Case.HELD : Case.NOT_RUN;
        }
        record.say("the first configuration got no acknowledgement in " + WAIT_MILLIS + " ms");
        return areCoresUp ? Case.BROKEN : Case.NOT_RUN;
    }
}
