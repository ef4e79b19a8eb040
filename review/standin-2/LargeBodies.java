import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** The traffic of a streaming route jumps, whose requests have bodies near the limit. */
final class LargeBodies {
    private static final int FRONTS = 2;
    private static final int REPLICAS = 8;
    private static final int SLOTS = 8;
    private static final int EVENTS = 40;
    private static final long EVENT_MILLIS = 100;
    private static final int BODY_BYTES = 4_000_000;
    private static final int PER_SECOND = 6;
    private static final int BURST_FACTOR = 2;
    private static final int SECONDS = 30;
    private static final int BURST_FROM_SECOND = 4;
    private static final int BURST_SECONDS = 22;
    private static final int BROKEN_ENDS = 3;
    private static final int BROKEN_MACHINES = 2;

    private LargeBodies() {}

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
        byte[] body = new byte[BODY_BYTES];
        new Random(49).nextBytes(body);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int second = 0; second < SECONDS; second++) {
            boolean isBurst =
                    isTrouble
                            && second >= BURST_FROM_SECOND
                            && second < BURST_FROM_SECOND + BURST_SECONDS;
            int count = isBurst ? PER_SECOND * BURST_FACTOR : PER_SECOND;
            for (int i = 0; i < count; i++) {
                int number = threads.size();
                Thread thread =
                        new Thread(() -> send(number, body, fleet, record, served, cut));
                thread.start();
                threads.add(thread);
                Fleet.sleep(1_000 / count);
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
        int ends = fleet.all("front").mapToInt(f -> f.ownEnds).sum();
        long broken = fleet.all("front").filter(f -> f.ownEnds >= BROKEN_ENDS).count();
        record.say(
                served + " of " + threads.size() + " requests are served, " + cut
                        + " got no answer; the front machines ended by themselves " + ends
                        + " times together, " + broken + " of them three times or more");
        return broken >= BROKEN_MACHINES ? Case.BROKEN : Case.HELD;
    }

    private static void send(
            int number,
            byte[] body,
            Fleet fleet,
            Record record,
            AtomicInteger served,
            AtomicInteger cut) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Config.HOST);
        headers.put("Authorization", "Bearer " + Config.KEY);
        headers.put("Request-Id", String.format("9c41d07b%08x", number));
        headers.put("Deadline-Ms", "5000");
        headers.put("Model", "m");
        headers.put("Token-Count", "460,80");
        headers.put("Prompt-Prefix", "5c1e07a2:100,91bd3f06:100," + Integer.toHexString(number + 4096) + ":260");
        Http.Answer answer =
                Http.call(
                        fleet.front(number % FRONTS),
                        "POST",
                        Config.ONLINE_PREFIX + "2f",
                        headers,
                        body,
                        6_000);
        record.write("request " + number + ": " + answer.status() + " " + answer.detail());
        if (answer.status() == 200) {
            served.incrementAndGet();
        } else if (answer.status() == Http.NO_ANSWER) {
            cut.incrementAndGet();
        }
    }
}
