import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Many batch jobs come at once and are accepted. Afterwards each of them has to be readable at the
 * end of the day.
 */
final class FullStores {
    private static final int FRONTS = 4;
    private static final int ITEMS = 200;
    private static final int ITEM_BYTES = 15_000;
    private static final int REPLICAS = 6;
    private static final int SLOTS = 8;
    private static final int EVENTS = 242;
    private static final long EVENT_MILLIS = 10;
    private static final int SECONDS = 12;
    private static final Set<Integer> BURST_SECONDS = Set.of(2, 3, 4, 7, 8, 9);
    private static final int BURST_FACTOR = 6;
    private static final long FINISH_MILLIS = 18_000;
    private static final long READ_MILLIS = 25_000;

    private FullStores() {}

    static int play(boolean isTrouble, Fleet fleet, Record record) throws Exception {
        for (int i = 0; i < REPLICAS; i++) {
            fleet.list.add(
                    new Replica(
                            "i-first" + i,
                            "first",
                            Fleet.ZONES.get(i % Fleet.ZONES.size()),
                            fleet.replicaAddress(),
                            SLOTS,
                            EVENTS,
                            EVENT_MILLIS,
                            record));
        }
        fleet.start();
        if (!fleet.configure(Config.batch(3, "first", 18_000, SLOTS), 30_000)
                || !fleet.awaitReady(15_000)) {
            return Case.NOT_RUN;
        }
        Fleet.sleep(2_000);
        Jobs jobs = new Jobs(Config.HOST, Config.KEY, Config.PREFIX, record);
        List<Jobs.Job> accepted = submit(isTrouble, jobs, fleet, record);
        if (accepted.isEmpty()) {
            return Case.NOT_RUN;
        }
        Fleet.sleep(FINISH_MILLIS);
        return readAll(accepted, jobs, fleet, record) ? Case.HELD : Case.BROKEN;
    }

    /** Hands in a job a second, more in the burst; a refused one is handed in once more. */
    private static List<Jobs.Job> submit(
            boolean hasBurst, Jobs jobs, Fleet fleet, Record record) throws InterruptedException {
        Random random = new Random(49);
        List<Jobs.Job> accepted = Collections.synchronizedList(new ArrayList<>());
        List<Thread> threads = new ArrayList<>();
        for (int second = 0; second < SECONDS; second++) {
            int count = hasBurst && BURST_SECONDS.contains(second) ? BURST_FACTOR : 1;
            for (int i = 0; i < count; i++) {
                threads.add(submit(jobs.create(ITEMS, ITEM_BYTES, random), threads.size(), jobs, fleet, accepted));
                Fleet.sleep(1_000 / count);
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record.say(accepted.size() + " of " + threads.size() + " jobs are accepted");
        return accepted;
    }

    private static Thread submit(
            Jobs.Job job, int number, Jobs jobs, Fleet fleet, List<Jobs.Job> accepted) {
        Thread thread =
                new Thread(
                        () -> {
                            for (int attempt = 0; attempt < 2; attempt++) {
                                String address = fleet.front((number + attempt) % FRONTS);
                                if (jobs.submit(address, job).status() == 202) {
                                    accepted.add(job);
                                    return;
                                }
                                Fleet.sleep(500);
                            }
                        });
        thread.start();
        return thread;
    }

    /** Reads each job from the start, again after each failure; returns whether all were read. */
    private static boolean readAll(
            List<Jobs.Job> accepted, Jobs jobs, Fleet fleet, Record record)
            throws InterruptedException {
        long end = System.nanoTime() + READ_MILLIS * 1_000_000;
        List<Jobs.Job> unread = Collections.synchronizedList(new ArrayList<>(accepted));
        List<Thread> threads = new ArrayList<>();
        for (Jobs.Job job : accepted) {
            Thread thread = new Thread(() -> {
                for (int i = 0; System.nanoTime() < end; i++) {
                    List<Jobs.Result> results = jobs.results(fleet.front(i % FRONTS), job);
                    if (results != null) {
                        record.write("job " + job.id() + " is read: " + results.size() + " results");
                        unread.remove(job);
                        return;
                    }
                    Fleet.sleep(500);
                }
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record.say(unread.size() + " of " + accepted.size() + " accepted jobs can't be read");
        fleet.all("store")
                .forEach(s -> record.say(s.name + (s.isAlive() ? " runs" : " does not run")
                        + ", has ended by itself " + s.ownEnds + " times"));
        return unread.isEmpty();
    }
}
