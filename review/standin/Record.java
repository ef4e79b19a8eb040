import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of what was sent, answered and run. */
final class Record implements AutoCloseable {
    /** Exit code of a broken rule; the runtime itself exits with 1 if it can't start a program. */
    static final int BROKEN_EXIT = 11;

    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();

    Record(Path file) {
        try {
            mOut = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    double seconds() {
        return (System.nanoTime() - mStart) / 1e9;
    }

    synchronized void line(String format, Object... values) {
        mOut.printf(Locale.ROOT, "%8.3f ", seconds());
        mOut.printf(Locale.ROOT, format, values);
        mOut.println();
        mOut.flush();
    }

    @Override
    public void close() {
        mOut.close();
    }
}
