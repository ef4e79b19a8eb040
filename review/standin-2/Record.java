import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start in milliseconds. */
final class Record implements AutoCloseable {
    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();

    Record(Path file) throws IOException {
        mOut = new PrintWriter(file.toFile());
    }

    long millis() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    synchronized void write(String line) {
        mOut.println(millis() + " ms  " + line);
        mOut.flush();
    }

    /** Writes a line to the record and to standard output. */
    void say(String line) {
        write(line);
        System.out.println(line);
    }

    @Override
    public void close() {
        mOut.close();
    }
}
