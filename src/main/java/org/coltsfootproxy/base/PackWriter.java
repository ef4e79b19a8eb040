package org.coltsfootproxy.base;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes records as MessagePack arrays of their components. Not thread-safe. */
public final class PackWriter {
    /** Size of the first buffer in bytes. Most reports of one host fit into it. */
    private static final int BUFFER_BYTES = 512;

    private static final MessagePack.PackerConfig CONFIG =
            new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

    private final MessageBufferPacker mPacker = CONFIG.newBufferPacker();

    PackWriter() {}

    /** Writes bytes as they are. */
    void raw(byte[] bytes) {
        try {
            mPacker.writePayload(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Begins a record with this number of components, which the caller writes next. */
    public PackWriter record(int components) {
        try {
            mPacker.packArrayHeader(components);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return this;
    }

    /** Writes an integer. */
    public PackWriter integer(long value) {
        try {
            mPacker.packLong(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return this;
    }

    /** Writes a number; a whole one is written as an integer, which takes fewer bytes. */
    public PackWriter number(double value) {
        long whole = (long) value;
        if (Double.doubleToRawLongBits(whole) == Double.doubleToRawLongBits(value)) {
            return integer(whole);
        }
        try {
            mPacker.packDouble(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return this;
    }

    /** Writes a flag. */
    public PackWriter flag(boolean value) {
        try {
            mPacker.packBoolean(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return this;
    }

    /** Writes a text, or that of an id. */
    public PackWriter text(String value) {
        try {
            if (value == null) {
                mPacker.packNil();
            } else {
                mPacker.packString(value);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return this;
    }

    /** Writes an id or null. */
    public <T> PackWriter id(T id, Function<T, String> value) {
        return text(id == null ? null : value.apply(id));
    }

    /** Writes a record or null. */
    public <T> PackWriter component(T value, BiConsumer<T, PackWriter> write) {
        if (value == null) {
            return text(null);
        }
        write.accept(value, this);
        return this;
    }

    /** Writes a list, each element by {@code write}. */
    public <T> PackWriter list(List<T> values, BiConsumer<T, PackWriter> write) {
        record(values.size());
        for (T value : values) {
            write.accept(value, this);
        }
        return this;
    }

    byte[] toByteArray() {
        return mPacker.toByteArray();
    }
}
