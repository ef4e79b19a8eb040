package org.coltsfootproxy.base;

/**
 * Encodes a frequent record type without reflection, in the format that {@link RecordCodec}
 * specifies. The format does not depend on which of the two encodes or decodes.
 *
 * <p>A component that is appended to the record must be appended to both methods; {@code
 * RecordEncodingTest} fails as long as it is missing.
 *
 * @param <T> the record type
 */
public interface RecordEncoding<T> {
    /** Writes the array of the record's components. */
    void write(T value, PackWriter out);

    /** Reads what {@link #write} has written, or the same with fewer or more components. */
    T read(PackReader in);
}
