import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The operator's reading back at the end of a day. */
final class ReadBack {
    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

    private ReadBack() {}

    /** Returns whether any node reads back the version or a later one, asked for a while. */
    static boolean check(Record record, Fleet fleet, long acknowledged, long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            for (Fleet.Host core : fleet.cores) {
                Http.Answer answer =
                        Http.call("GET", core.caller, "/coltsfootproxy/config", null, 1_000);
                Matcher matcher = VERSION.matcher(answer.text());
                String read = answer.status() == 200 && matcher.find() ? matcher.group(1) : "none";
                record.line(
                        "read of %s: status %d %s, version %s, acknowledged %d",
                        core.name, answer.status(), answer.why(), read, acknowledged);
                if (!read.equals("none")) {
                    return Long.parseLong(read) >= acknowledged;
                }
            }
            Operator.sleep(200);
        }
        return false;
    }
}
