import java.util.List;

/** The operator: sends a change until it has a clear answer, to other nodes after a failure. */
final class Operator {
    private final Record mRecord;
    private final List<Fleet.Host> mCores;
    private int mNext;

    Operator(Record record, List<Fleet.Host> cores) {
        mRecord = record;
        mCores = cores;
    }

    /** Returns whether the change was acknowledged within the time. */
    boolean put(byte[] document, String what, long withinMillis) {
        long end = System.nanoTime() + withinMillis * 1_000_000;
        long pause = 50;
        while (System.nanoTime() < end) {
            Fleet.Host core = mCores.get(mNext % mCores.size());
            Http.Answer answer =
                    Http.call(
                            "PUT",
                            core.caller,
                            "/coltsfootproxy/config",
                            document,
                            3000,
                            "Content-Type",
                            "application/json");
            if (answer.status() == 200) {
                mRecord.line("%s acknowledged by %s", what, core.name);
                return true;
            }
            mRecord.line("%s at %s: status %d %s", what, core.name, answer.status(), answer.why());
            mNext++;
            sleep(pause);
            pause = Math.min(1000, pause * 2);
        }
        return false;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
