import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Replicas crash, one at a time, and start again at once under their ids with a newer version of
 * their software. The platform's list shows it after its lag.
 */
final class Upgraded {
    private static final int REPLICAS = 6;
    private static final int CRASHES = 3;
    private static final int SLOTS = 4;
    private static final int EVENTS = 60;
    private static final long EVENT_MILLIS = 50;
    private static final int JOBS = 20;
    private static final int ITEMS = 10;
    private static final long RESTART_MILLIS = 300;
    private static final long LIST_LAG_MILLIS = 800;
    private static final long GAP_MILLIS = 6_000;
    private static final long END_MILLIS = 60_000;

    private Upgraded() {}

    static int play(boolean isTrouble, Fleet fleet, Record record) throws Exception {
        List<Replica> replicas = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            addresses.add(fleet.replicaAddress());
            replicas.add(replica(i, "v1", addresses.get(i), record));
        }
        replicas.forEach(fleet.list::add);
        fleet.start();
        if (!fleet.configure(Config.batch(3, "first", 18_000, SLOTS), 30_000)
                || !fleet.awaitReady(15_000)) {
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
        for (int i = 0; isTrouble && i < CRASHES; i++) {
            Fleet.sleep(GAP_MILLIS);
            Replica former = replicas.get(i);
            former.close();
            record.say("replica " + former.id + " has crashed");
            Fleet.sleep(RESTART_MILLIS);
            Replica successor = replica(i, "v2", addresses.get(i), record);
            record.say("replica " + former.id + " runs again, at v2");
            Fleet.sleep(LIST_LAG_MILLIS);
            fleet.list.remove(former);
            fleet.list.add(successor);
            record.write("the list shows it");
        }
        return check(accepted, jobs, fleet, record);
    }

    private static Replica replica(
            int number, String version, InetSocketAddress address, Record record)
            throws Exception {
        return new Replica(
                "i-first" + number,
                "first",
                Fleet.ZONES.get(number % Fleet.ZONES.size()),
                version,
                address,
                SLOTS,
                EVENTS,
                EVENT_MILLIS,
                record);
    }

    private static int check(
            List<Jobs.Job> accepted, Jobs jobs, Fleet fleet, Record record) {
        long end = System.nanoTime() + END_MILLIS * 1_000_000;
        int open = JOBS * ITEMS;
        int joined = 0;
        while (open > 0 && System.nanoTime() < end) {
            Fleet.sleep(1_000);
            open = 0;
            joined = 0;
            for (Jobs.Job job : accepted) {
                List<Jobs.Result> results = jobs.results(fleet.front(0), job);
                open += results == null ? ITEMS : ITEMS - results.size();
                joined += results == null ? 0 : joined(results, record);
            }
        }
        record.say(
                joined + " complete results are joined from the text of two versions; " + open
                        + " items are open");
        return joined > 0 ? Case.BROKEN : open == 0 ? Case.HELD : Case.NOT_RUN;
    }

    private static int joined(List<Jobs.Result> results, Record record) {
        int joined = 0;
        for (Jobs.Result result : results) {
            boolean isWhole =
                    result.output().equals(Replica.output(result.id(), EVENTS, "v1"))
                            || result.output().equals(Replica.output(result.id(), EVENTS, "v2"));
            if (result.state().equals("complete") && !isWhole) {
                joined++;
                record.write("joined: item " + result.id() + ": " + result.output());
            }
        }
        return joined;
    }
}
