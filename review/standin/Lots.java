import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Batch jobs of the largest allowed size come at once; what was accepted has to be finished. */
final class Lots {
    private static final int LOTS = 10;
    private static final int MAX_ITEMS = 200;
    private static final int USUAL_ITEMS = 10;
    private static final int BODY_BYTES = 15_000;

    /** {@code finish_s} of the sheets. */
    private static final long FINISH_MILLIS = 18_000;

    /** Deadline of a submission on the sheet. */
    private static final long DEADLINE_MILLIS = 4_000;

    private static final Pattern NEXT = Pattern.compile("\"next_token\":(\\d+)");

    public static void main(String[] args) {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Record record = new Record(Path.of(args[0], "record.txt"));
                Platform platform = new Platform();
                Fleet fleet = new Fleet(record, platform.address(), 1, 3, 3, 2)) {
            result = run(record, platform, fleet, isTroubled ? MAX_ITEMS : USUAL_ITEMS);
            record.line("result %d", result);
        } catch (RuntimeException | Error e) {
            e.printStackTrace();
            result = 2;
        }
        System.exit(result == 1 ? Record.BROKEN_EXIT : result);
    }

    static byte[] lot(String id, int items, int bodyBytes) {
        Random random = new Random(id.hashCode());
        StringBuilder json = new StringBuilder("{\"items\":[");
        for (int i = 0; i < items; i++) {
            byte[] body = new byte[bodyBytes];
            random.nextBytes(body);
            json.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"").append(id).append('a').append(i)
                    .append("\",\"path\":\"/lots/3/91c4\",\"headers\":{\"Model\":\"m\",")
                    .append("\"Token-Count\":\"540,400\",\"Prompt-Prefix\":\"9c2e41:300,5d07b8:240\"},")
                    .append("\"body\":\"").append(Base64.getEncoder().encodeToString(body))
                    .append("\",\"tokens\":940}");
        }
        return json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    private static int run(Record record, Platform platform, Fleet fleet, int items) {
        for (int i = 1; i <= 8; i++) {
            platform.replicas.add(
                    new Replica("i-" + i, Config.LM, "zone-" + (1 + i % 3), 8, 40, 3, 390));
        }
        fleet.start();
        Operator operator = new Operator(record, fleet.cores);
        if (!operator.put(Config.document(1, 0, 5000), "version 1", 25_000)) {
            return 2;
        }
        Operator.sleep(3_000);
        List<String> open = submitAll(record, fleet, items);
        if (open.isEmpty()) {
            return 2;
        }
        long submitted = System.nanoTime();
        int accepted = open.size();
        while (!open.isEmpty() && record.seconds() < 100) {
            Operator.sleep(2_000);
            open.removeIf(id -> isListed(record, fleet, id, items));
            boolean isOver = System.nanoTime() - submitted >= FINISH_MILLIS * 1_000_000;
            boolean isCalm = platform.replicas.stream().allMatch(r -> r.isIdleFor(5_000));
            int runs = platform.replicas.stream().mapToInt(r -> r.runs.get()).sum();
            record.line(
                    "%d of %d accepted jobs not listed completely, %d runs, replicas idle for 5 s: %s",
                    open.size(), accepted, runs, isCalm);
            if (isOver && isCalm) {
                break;
            }
        }
        fleet.stores.forEach(s -> record.line("%s: %s", s.name, s.process.isAlive() ? "runs" : "has ended"));
        fleet.stores.forEach(s -> record.line("%s out of memory: %s", s.name, s.logHolds("OutOfMemoryError")));
        boolean isCalm = platform.replicas.stream().allMatch(r -> r.isIdleFor(5_000));
        return open.isEmpty() ? 0 : isCalm ? 1 : 2;
    }

    /**
     * Sends the jobs one after the other, each at most twice within its deadline, until one is not
     * accepted; returns those that were.
     */
    private static List<String> submitAll(Record record, Fleet fleet, int items) {
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < LOTS && accepted.size() == i; i++) {
            String id = "lot" + i;
            byte[] body = lot(id, items, BODY_BYTES);
            long end = System.nanoTime() + DEADLINE_MILLIS * 1_000_000;
            for (int attempt = 0; attempt < 2 && System.nanoTime() < end; attempt++) {
                Fleet.Host front = fleet.fronts.get((i + attempt) % 2);
                Http.Answer answer = submit(front, id, body);
                record.line(
                        "submit %s, %d items, %d bytes, at %s: %d %s",
                        id, items, body.length, front.name, answer.status(), answer.why());
                if (answer.status() == 202) {
                    accepted.add(id);
                    break;
                }
            }
        }
        return accepted;
    }

    static Http.Answer submit(Fleet.Host front, String id, byte[] body) {
        return Http.call(
                "POST", front.caller, "/lots/" + id, body, DEADLINE_MILLIS, withHost("Request-Id", id,
                "Content-Type", "application/json", "Deadline-Ms", "4000"));
    }

    static String[] withHost(String... headers) {
        List<String> all = new ArrayList<>(Arrays.asList(headers));
        all.addAll(List.of("Host", Config.HOST, "Authorization", "Bearer " + Config.KEY));
        return all.toArray(new String[0]);
    }

    /** Reads a job to its end; returns whether every item is listed. */
    private static boolean isListed(Record record, Fleet fleet, String id, int items) {
        int next = 0;
        int failures = 0;
        boolean isMore = true;
        for (int read = 0; isMore && failures < 2 && next < items && record.seconds() < 95; read++) {
            Fleet.Host front = fleet.fronts.get(read % 2);
            Http.Answer answer =
                    Http.call(
                            "GET",
                            front.caller,
                            "/coltsfootproxy/lots/" + id + "?after=" + next,
                            null,
                            2_500,
                            withHost());
            Matcher matcher = NEXT.matcher(answer.text());
            if (answer.status() == 200 && matcher.find()) {
                int before = next;
                next = Integer.parseInt(matcher.group(1));
                isMore = next > before;
            } else {
                failures++;
                record.line("read of %s at %s: %d %s", id, front.name, answer.status(), answer.why());
            }
        }
        record.line("%s: %d of %d items are listed", id, next, items);
        return next >= items;
    }
}
