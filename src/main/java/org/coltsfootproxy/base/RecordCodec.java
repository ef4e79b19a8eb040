package org.coltsfootproxy.base;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes the record types that implement one sealed interface, directly or through
 * sealed subinterfaces.
 *
 * <p>An encoding is the two-byte {@link WireCode} of the record type, followed by a MessagePack
 * array of the components in their declared order, without their names. New components may be
 * appended to a record: an encoding without them decodes with null, zero or false in their place.
 * Components must not be moved or removed.
 *
 * <p>Instances are immutable and thread-safe.
 *
 * @param <T> the sealed interface
 */
public final class RecordCodec<T> {
    private static final int CODE_BYTES = Short.BYTES;

    private final Class<T> mRoot;
    private final Map<Class<?>, Entry> mByClass = new HashMap<>();
    private final Map<Integer, Entry> mByCode = new HashMap<>();

    /**
     * A record type.
     *
     * @param encoding encoding of a frequent type; null if it is encoded by reflection
     */
    private record Entry(
            int code,
            ObjectWriter writer,
            ObjectReader reader,
            Class<?> type,
            RecordEncoding<Object> encoding) {}

    private RecordCodec(Class<T> root, boolean usesEncodings) {
        mRoot = root;
        ObjectMapper mapper = createMapper();
        records(root).forEach(type -> register(mapper, type, usesEncodings));
    }

    /**
     * Returns a codec for all record types that implement {@code root}.
     *
     * @throws IllegalStateException if a record has no {@link WireCode} or two share one
     */
    public static <T> RecordCodec<T> of(Class<T> root) {
        checkArgument(root.isSealed(), "%s is not sealed", root);
        return new RecordCodec<>(root, true);
    }

    /** Returns a codec that encodes and decodes all types by reflection, as a reference. */
    static <T> RecordCodec<T> byReflection(Class<T> root) {
        return new RecordCodec<>(root, false);
    }

    private static ObjectMapper createMapper() {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        mapper.setDefaultPropertyInclusion(
                com.fasterxml.jackson.annotation.JsonInclude.Include.ALWAYS);
        mapper.setAnnotationIntrospector(new ArrayShapeIntrospector());
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        // Resolving the serializers of all types eagerly takes a third of a host's start-up time,
        // and a host uses few of the types.
        mapper.disable(DeserializationFeature.EAGER_DESERIALIZER_FETCH);
        mapper.disable(SerializationFeature.EAGER_SERIALIZER_FETCH);
        return mapper;
    }

    private static Stream<Class<?>> records(Class<?> type) {
        return type.isSealed()
                ? Arrays.stream(type.getPermittedSubclasses()).flatMap(RecordCodec::records)
                : Stream.of(type);
    }

    private void register(ObjectMapper mapper, Class<?> type, boolean usesEncodings) {
        WireCode code = type.getAnnotation(WireCode.class);
        checkState(code != null, "%s has no @WireCode", type);
        RecordEncoding<Object> encoding = usesEncodings ? encodingOf(type) : null;
        Entry entry =
                new Entry(
                        code.value(),
                        mapper.writerFor(type),
                        mapper.readerFor(type),
                        type,
                        encoding);
        checkState(
                mByCode.put(code.value(), entry) == null,
                "wire code of %s is already used by another record",
                type);
        mByClass.put(type, entry);
    }

    /** Returns the encoding that is named for a type; null if none is. */
    @SuppressWarnings("unchecked")
    private static RecordEncoding<Object> encodingOf(Class<?> type) {
        EncodedBy encodedBy = type.getAnnotation(EncodedBy.class);
        if (encodedBy == null) {
            return null;
        }
        try {
            var constructor = encodedBy.value().getDeclaredConstructor();
            return (RecordEncoding<Object>) constructor.newInstance();
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("can't create the encoding of " + type, e);
        }
    }

    /** Returns the encoding of {@code value}. */
    public byte[] encode(T value) {
        Entry entry = mByClass.get(value.getClass());
        checkArgument(entry != null, "%s is not a record type of %s", value.getClass(), mRoot);
        if (entry.encoding() != null) {
            PackWriter out = new PackWriter();
            out.raw(new byte[] {(byte) (entry.code() >> Byte.SIZE), (byte) entry.code()});
            entry.encoding().write(value, out);
            return out.toByteArray();
        }
        try {
            byte[] body = entry.writer().writeValueAsBytes(value);
            return ByteBuffer.allocate(CODE_BYTES + body.length)
                    .putShort((short) entry.code())
                    .put(body)
                    .array();
        } catch (IOException e) {
            throw new IllegalStateException("can't encode " + value, e);
        }
    }

    /**
     * Returns the record that {@code bytes} encode.
     *
     * @throws ProxyException of kind {@link ErrorKind#MALFORMED_REQUEST} if the bytes are truncated
     *     or malformed, or their type code is unknown
     */
    public T decode(byte[] bytes) throws ProxyException {
        // State machines copy the texts of these exceptions into replicated results, so the texts
        // must be the same on all replicas.
        if (bytes.length < CODE_BYTES) {
            throw ProxyException.of(ErrorKind.MALFORMED_REQUEST, "record of no type");
        }
        int code = ByteBuffer.wrap(bytes).getShort();
        Entry entry = mByCode.get(code);
        if (entry == null) {
            throw ProxyException.of(ErrorKind.MALFORMED_REQUEST, "unknown record type " + code);
        }
        try {
            if (entry.encoding() != null) {
                return decode(entry, bytes);
            }
            return mRoot.cast(
                    entry.reader().readValue(bytes, CODE_BYTES, bytes.length - CODE_BYTES));
        } catch (IOException | RuntimeException e) {
            String detail = "malformed record of type " + code;
            throw ProxyException.of(ErrorKind.MALFORMED_REQUEST, detail, e);
        }
    }

    private T decode(Entry entry, byte[] bytes) {
        PackReader in = new PackReader(bytes, CODE_BYTES, bytes.length - CODE_BYTES);
        T value = mRoot.cast(in.record(entry.encoding()::read));
        checkArgument(value != null, "a %s is null", entry.type());
        return value;
    }

    /** Writes records as arrays, which are smaller than maps with named fields. */
    private static final class ArrayShapeIntrospector
            extends com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector {
        private static final long serialVersionUID = 1L;

        @Override
        public JsonFormat.Value findFormat(
                com.fasterxml.jackson.databind.introspect.Annotated annotated) {
            JsonFormat.Value format = super.findFormat(annotated);
            return format == null && isWrittenAsArray(annotated.getRawType())
                    ? JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY)
                    : format;
        }

        /** Returns false for id records, which are written as their single value. */
        private static boolean isWrittenAsArray(Class<?> type) {
            return type != null
                    && type.isRecord()
                    && Arrays.stream(type.getDeclaredMethods())
                            .noneMatch(method -> method.isAnnotationPresent(JsonValue.class));
        }
    }
}
