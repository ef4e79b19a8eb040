package org.coltsfootproxy.base;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads records that are written as MessagePack arrays of their components. Components that are
 * missing at the end of an array are read as null, zero or false; those that this version doesn't
 * know are skipped. Not thread-safe.
 *
 * <p>All methods throw a runtime exception if the encoding is truncated or has another type.
 */
public final class PackReader {
    private final MessageUnpacker mUnpacker;
    private final int mBytes;
    private final byte[] mText = new byte[Names.MAX_LENGTH];

    /** Number of values that are left in the array that is being read. */
    private int mLeft = 1;

    PackReader(byte[] bytes, int offset, int length) {
        mBytes = length;
        mUnpacker = MessagePack.DEFAULT_UNPACKER_CONFIG.newUnpacker(bytes, offset, length);
    }

    /** Returns whether a value is present, and passes over it if it is null. */
    private boolean hasValue() throws IOException {
        if (mLeft == 0) {
            return false;
        }
        mLeft--;
        return !mUnpacker.tryUnpackNil();
    }

    /** Reads an integer; 0 if it is missing. */
    public long longValue() {
        try {
            return hasValue() ? mUnpacker.unpackLong() : 0;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads an integer of 32 bits; 0 if it is missing. */
    public int intValue() {
        try {
            return hasValue() ? mUnpacker.unpackInt() : 0;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a number, which may be written as an integer; 0 if it is missing. */
    public double number() {
        try {
            if (!hasValue()) {
                return 0;
            }
            return mUnpacker.getNextFormat().getValueType().isIntegerType()
                    ? mUnpacker.unpackLong()
                    : mUnpacker.unpackDouble();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a flag; false if it is missing. */
    public boolean flag() {
        try {
            return hasValue() && mUnpacker.unpackBoolean();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a text; null if it is missing. */
    public String text() {
        try {
            return hasValue() ? mUnpacker.unpackString() : null;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads an id; null if it is missing. */
    public <T> T id(IdCache<T> ids) {
        try {
            if (!hasValue()) {
                return null;
            }
            int length = mUnpacker.unpackRawStringHeader();
            if (length > mText.length) {
                throw new IllegalArgumentException("an id has " + length + " bytes");
            }
            mUnpacker.readPayload(mText, 0, length);
            return ids.get(mText, length);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads a record; null if it is missing.
     *
     * @param read reads the components in their order
     */
    public <T> T record(Function<PackReader, T> read) {
        try {
            if (!hasValue()) {
                return null;
            }
            int leftAfter = mLeft;
            mLeft = mUnpacker.unpackArrayHeader();
            T value = read.apply(this);
            if (mLeft > 0) {
                mUnpacker.skipValue(mLeft);
            }
            mLeft = leftAfter;
            return value;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a list, each element by {@code read}; null if it is missing. */
    public <T> List<T> list(Function<PackReader, T> read) {
        try {
            if (!hasValue()) {
                return null;
            }
            int leftAfter = mLeft;
            int size = mUnpacker.unpackArrayHeader();
            // A damaged size must not reserve more memory than the message takes.
            List<T> values = new ArrayList<>(Math.min(size, mBytes));
            for (mLeft = size; mLeft > 0; ) {
                values.add(read.apply(this));
            }
            mLeft = leftAfter;
            return values;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
