package org.coltsfootproxy.net;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongPredicate;
import java.util.function.Predicate;

/**
 * Bounds the memory that a process holds for all its clients: connections, incomplete requests,
 * calls that are not answered, and responses that are not sent.
 *
 * <p>A part is reserved for small requests, so that they are served while large ones occupy the
 * rest. When memory runs out, the incomplete request or idle connection that has held most for
 * longest without progress is ended; complete requests never are. Thread-safe.
 */
public final class ClientMemory {
    /** Fraction of the heap that clients may occupy; the rest is for the host's own state. */
    private static final double HEAP_FRACTION = 0.3;

    /** Fraction of the memory that only small requests may occupy. */
    private static final double RESERVED_FRACTION = 0.25;

    /** Largest memory of a request that may use the reserved part. */
    static final long SMALL_BYTES = 64 << 10;

    /** Time without progress after which a request gives way to a new one. */
    private static final long STALLED_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final ClientMemory OF_PROCESS =
            ofCapacity((long) (HEAP_FRACTION * Runtime.getRuntime().maxMemory()));

    private final long mCapacity;
    private final long mCapacityForLarge;
    private final AtomicLong mHeld = new AtomicLong();
    private final Set<ClientAccount> mAccounts = ConcurrentHashMap.newKeySet();

    private ClientMemory(long capacity) {
        mCapacity = capacity;
        mCapacityForLarge = (long) ((1 - RESERVED_FRACTION) * capacity);
    }

    /** Returns the memory that all servers of this process share. */
    public static ClientMemory ofProcess() {
        return OF_PROCESS;
    }

    /** Returns memory of its own. */
    public static ClientMemory ofCapacity(long bytes) {
        checkArgument(bytes > 0, "capacity %s is not positive", bytes);
        return new ClientMemory(bytes);
    }

    /** Returns the maximum memory, in bytes. */
    long capacity() {
        return mCapacity;
    }

    /** Returns the memory held now, in bytes. */
    public long heldBytes() {
        return mHeld.get();
    }

    /** Adds to the memory held; a negative number releases memory. */
    void add(long bytes) {
        mHeld.addAndGet(bytes);
    }

    /**
     * Returns an account for a connection.
     *
     * @param ending ends the connection
     */
    ClientAccount open(ClientAccount.Ending ending) {
        ClientAccount account = new ClientAccount(this, ending);
        mAccounts.add(account);
        return account;
    }

    void remove(ClientAccount account) {
        mAccounts.remove(account);
    }

    /**
     * Returns whether a new request may occupy {@code bytes}, after requests that have stalled gave
     * way to it.
     */
    boolean admits(ClientAccount account, long bytes) {
        boolean isLarge = bytes > SMALL_BYTES;
        long limit = isLarge ? mCapacityForLarge : mCapacity;
        long now = System.nanoTime();
        return makeRoom(
                held -> held + bytes <= limit,
                other ->
                        other != account
                                && now - other.progressNanos() >= STALLED_NANOS
                                && (!isLarge || other.endableBytes() > SMALL_BYTES));
    }

    /** Ends incomplete requests and idle connections until the memory held is within its bounds. */
    void relieve() {
        makeRoom(held -> held <= mCapacityForLarge, other -> other.endableBytes() > SMALL_BYTES);
        makeRoom(held -> held <= mCapacity, other -> true);
    }

    private boolean makeRoom(LongPredicate isEnough, Predicate<ClientAccount> mayEnd) {
        while (!isEnough.test(mHeld.get())) {
            long now = System.nanoTime();
            Optional<ClientAccount> worst =
                    mAccounts.stream()
                            .filter(a -> a.endableBytes() > 0 && mayEnd.test(a))
                            .max(Comparator.comparingDouble(a -> a.byteSeconds(now)));
            if (worst.isEmpty()) {
                return false;
            }
            worst.get().end(false);
        }
        return true;
    }
}
