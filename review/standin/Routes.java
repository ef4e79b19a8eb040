import java.nio.file.Path;

/** Hundreds of changes one after the other, with or without 1,400 routes more. */
final class Routes {
    private static final int MORE_ROUTES = 1_400;
    private static final int CHANGES = 480;
    private static final int END_SECONDS = 96;
    private static final long PAUSE_MILLIS = 150;

    public static void main(String[] args) {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Record record = new Record(Path.of(args[0], "record.txt"));
                Platform platform = new Platform();
                Fleet fleet = new Fleet(record, platform.address(), 1, 3, 3, 1)) {
            result = run(record, platform, fleet, isTroubled ? MORE_ROUTES : 0);
            record.line("result %d", result);
        } catch (RuntimeException | Error e) {
            e.printStackTrace();
            result = 2;
        }
        System.exit(result == 1 ? Record.BROKEN_EXIT : result);
    }

    private static int run(Record record, Platform platform, Fleet fleet, int more) {
        platform.replicas.add(new Replica("i-1", Config.LM, "zone-1", 8, 20, 5, 65));
        fleet.start();
        Operator operator = new Operator(record, fleet.cores);
        if (!operator.put(Config.document(1, 0, 5000), "version 1", 25_000)) {
            return 2;
        }
        long version = 1;
        long acknowledged = 1;
        for (int i = 0; i < CHANGES && record.seconds() < END_SECONDS; i++) {
            long began = System.nanoTime();
            version++;
            byte[] document = Config.document(version, more, 4000 + i);
            String what = "version " + version + ", " + document.length + " bytes,";
            // A change without a clear answer is sent again unchanged, to any node.
            long left = Math.max(0, (long) (1_000 * (END_SECONDS - record.seconds())));
            if (!operator.put(document, what, left)) {
                break;
            }
            acknowledged = version;
            Operator.sleep(Math.max(0, PAUSE_MILLIS - (System.nanoTime() - began) / 1_000_000));
        }
        boolean isRead = ReadBack.check(record, fleet, acknowledged, 6_000);
        fleet.cores.forEach(
                c ->
                        record.line(
                                "%s %s, out of memory: %s",
                                c.name,
                                c.process.isAlive() ? "runs" : "has ended",
                                c.logHolds("OutOfMemoryError")));
        return isRead ? 0 : 1;
    }
}
