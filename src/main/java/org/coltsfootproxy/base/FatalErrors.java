package org.coltsfootproxy.base;

import io.netty.util.internal.OutOfDirectMemoryError;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Decides which errors a process can't survive, and ends the process on them.
 *
 * <p>After such an error, a step of a state machine may be half done or a thread may have ended. A
 * process that stays up in that state is not restarted by the platform, and its peers take it for
 * running.
 */
public final class FatalErrors {
    /** Exit code of a process that ends because of an error. */
    public static final int EXIT_CODE = 71;

    /** Complete, since nothing can be allocated reliably when it is needed. */
    private static final byte[] LOG_LINE =
            ("{\"level\":\""
                            + EventCode.PROCESS_FAILED.level()
                            + "\",\"event\":"
                            + EventCode.PROCESS_FAILED.number()
                            + ",\"what\":\""
                            + EventCode.PROCESS_FAILED.text()
                            + "\"}\n")
                    .getBytes(StandardCharsets.UTF_8);

    private static volatile Consumer<Throwable> sEnding = FatalErrors::halt;

    private FatalErrors() {}

    /**
     * Returns whether a process can't survive an error that ended one step of its work.
     *
     * <p>A stack overflow belongs to the one input that caused it. So does a lack of direct memory,
     * which Netty reports before it has changed anything.
     */
    public static boolean isFatal(Throwable error) {
        return error instanceof VirtualMachineError
                && !(error instanceof StackOverflowError)
                && !(error instanceof OutOfDirectMemoryError);
    }

    /** Ends the process if an error is fatal. */
    public static void endIfFatal(Throwable error) {
        if (isFatal(error)) {
            end(error);
        }
    }

    /** Ends the process because an error has ended one of its threads, or is fatal by itself. */
    public static void end(Throwable error) {
        sEnding.accept(error);
    }

    /**
     * Sets what is done instead of ending the process, for tests.
     *
     * @return what was done before
     */
    public static Consumer<Throwable> replaceEnding(Consumer<Throwable> ending) {
        Consumer<Throwable> before = sEnding;
        sEnding = ending;
        return before;
    }

    private static void halt(Throwable error) {
        try (FileOutputStream out = new FileOutputStream(FileDescriptor.err)) {
            out.write(LOG_LINE);
            out.write((error + "\n").getBytes(StandardCharsets.UTF_8));
        } catch (IOException | RuntimeException | Error e) {
            // The exit code tells the reason as well.
            Runtime.getRuntime().halt(EXIT_CODE);
        }
        Runtime.getRuntime().halt(EXIT_CODE);
    }
}
