import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A configuration moves the route of accepted batch jobs to another service, and the replicas of the
 * former service are emptied and taken away.
 */
final class Stranded {
    private static final int JOBS = 4;
    private static final int ITEMS = 10;
    private static final int EVENTS = 25;
    private static final long EVENT_MILLIS = 100;
    private static final int SLOTS = 4;
    private static final long DRAIN_MILLIS = 3_000;
    private static final long LINGER_MILLIS = 3_000;
    private static final long FINISH_MILLIS = 18_000;
    private static final long CALM_MILLIS = 5_000;

    private Stranded() {}

    static int play(boolean isTrouble, Fleet fleet, Record record) throws Exception {
        List<Replica> first = new ArrayList<>();
        List<Replica> second = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            String zone = Fleet.ZONES.get(i);
            first.add(replica("i-first" + i, "first", zone, fleet, record));
            second.add(replica("i-second" + i, "second", zone, fleet, record));
        }
        first.forEach(fleet.list::add);
        second.forEach(fleet.list::add);
        fleet.start();
        if (!fleet.configure(Config.batch(3, "first", 18_000, SLOTS), 30_000) || !fleet.awaitReady(15_000)) {
            return Case.NOT_RUN;
        }
        Fleet.sleep(2_000);
        Jobs jobs = new Jobs(Config.HOST, Config.KEY, Config.PREFIX, record);
        Random random = new Random(49);
        List<Jobs.Job> accepted = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            Jobs.Job job = jobs.create(ITEMS, 1_500, random);
            if (jobs.submit(fleet.front(i % 2), job).status() == 202) {
                accepted.add(job);
            }
        }
        record.say(accepted.size() + " jobs are accepted");
        if (accepted.size() < JOBS) {
            return Case.NOT_RUN;
        }
        Fleet.sleep(1_000);
        if (isTrouble) {
            if (!fleet.configure(Config.batch(7, "second", 18_000, SLOTS), 8_000)) {
                return Case.NOT_RUN;
            }
            Fleet.sleep(2_000);
            first.forEach(Replica::drain);
            record.say("the replicas of the former service are listed as draining");
            Fleet.sleep(DRAIN_MILLIS + LINGER_MILLIS);
            for (Replica replica : first) {
                fleet.list.remove(replica);
                replica.close();
            }
            record.say("the replicas of the former service are gone");
        }
        // From here on nothing happens: the time in which open batch jobs may still end.
        long end = System.nanoTime() + (FINISH_MILLIS + 2_000) * 1_000_000;
        int open = JOBS * ITEMS;
        while (System.nanoTime() < end && open > 0) {
            Fleet.sleep(500);
            open = openItems(fleet, jobs, accepted, record);
        }
        List<Replica> all = new ArrayList<>(first);
        all.addAll(second);
        int running = all.stream().mapToInt(Replica::running).sum();
        long idle = record.millis() - all.stream().mapToLong(r -> r.lastActivity).max().orElse(0);
        record.say(
                open + " of " + JOBS * ITEMS + " accepted items are listed neither as complete nor"
                        + " as errored; the replicas run " + running
                        + " requests and were idle for the last " + idle + " ms");
        boolean isBroken = open > 0 && running == 0 && idle >= CALM_MILLIS;
        return isBroken ? Case.BROKEN : open == 0 ? Case.HELD : Case.NOT_RUN;
    }

    private static Replica replica(
            String id, String service, String zone, Fleet fleet, Record record) throws Exception {
        return new Replica(
                id, service, zone, fleet.replicaAddress(), SLOTS, EVENTS, EVENT_MILLIS, record);
    }

    private static int openItems(
            Fleet fleet, Jobs jobs, List<Jobs.Job> accepted, Record record) {
        int open = 0;
        for (Jobs.Job job : accepted) {
            List<Jobs.Result> results = jobs.results(fleet.front(0), job);
            open += job.items().size() - (results == null ? 0 : results.size());
        }
        record.write(open + " items are open");
        return open;
    }
}
