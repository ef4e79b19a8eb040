package org.coltsfootproxy.base;

import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.Function;

/**
 * Ids that were decoded recently, by the bytes of their text. The ids of hosts, targets and
 * organisations arrive in each report; a known one is neither created nor checked again. Bounded,
 * since an id replaces the one in its slot. Thread-safe.
 *
 * @param <T> the type of the ids
 */
public final class IdCache<T> {
    private static final int SLOTS = 1 << 10;
    private static final int HASH_FACTOR = 31;
    private static final int HASH_SHIFT = 15;

    private final Function<String, T> mOf;
    private final AtomicReferenceArray<Entry<T>> mEntries = new AtomicReferenceArray<>(SLOTS);

    private record Entry<T>(byte[] text, T id) {}

    private IdCache(Function<String, T> of) {
        mOf = checkNotNull(of, "of");
    }

    /** Returns an empty cache of the ids that {@code of} returns. */
    public static <T> IdCache<T> of(Function<String, T> of) {
        return new IdCache<>(of);
    }

    /**
     * Returns the id whose text is the first {@code length} bytes.
     *
     * @throws IllegalArgumentException if they are not the text of an id
     */
    T get(byte[] text, int length) {
        int hash = 0;
        for (int i = 0; i < length; i++) {
            hash = HASH_FACTOR * hash + text[i];
        }
        int slot = (hash ^ hash >>> HASH_SHIFT) & (SLOTS - 1);
        Entry<T> known = mEntries.getPlain(slot);
        if (known != null
                && known.text().length == length
                && Arrays.equals(known.text(), 0, length, text, 0, length)) {
            return known.id();
        }
        T id = mOf.apply(new String(text, 0, length, StandardCharsets.UTF_8));
        mEntries.set(slot, new Entry<>(Arrays.copyOf(text, length), id));
        return id;
    }
}
