package org.coltsfootproxy.base;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.Message;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.value.ImmutableValue;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests each {@link RecordEncoding} of a message against the encoding by reflection, which hosts of
 * earlier versions use for all messages.
 */
public final class RecordEncodingTest {
    private static final int ROUNDS = 200;

    private final RecordCodec<Message> mCodec = RecordCodec.of(Message.class);
    private final RecordCodec<Message> mReference = RecordCodec.byReflection(Message.class);

    @DataProvider
    public Object[][] encodedTypes() {
        Object[][] types =
                records(Message.class)
                        .filter(type -> type.isAnnotationPresent(EncodedBy.class))
                        .map(type -> new Object[] {type})
                        .toArray(Object[][]::new);
        assertFalse(types.length == 0, "no type names its encoding");
        return types;
    }

    private static Stream<Class<?>> records(Class<?> type) {
        return type.isSealed()
                ? Arrays.stream(type.getPermittedSubclasses()).flatMap(RecordEncodingTest::records)
                : Stream.of(type);
    }

    /**
     * Guards against a component that was appended to a record but not to its encoding: each
     * component here has a value other than null, zero, false or the empty list.
     */
    @Test(dataProvider = "encodedTypes")
    public void allComponentsSurviveInBothDirections(Class<?> type) throws ProxyException {
        var random = new Random(1);
        for (int round = 0; round < ROUNDS; round++) {
            Message message = (Message) value(type, random, 0);
            assertEquals(mReference.decode(mCodec.encode(message)), message);
            assertEquals(mCodec.decode(mReference.encode(message)), message);
            assertEquals(mCodec.decode(mCodec.encode(message)), message);
        }
    }

    /** Guards against an encoding that fails on absent parts, empty lists or large numbers. */
    @Test(dataProvider = "encodedTypes")
    public void absentPartsAndExtremeNumbersSurviveInBothDirections(Class<?> type)
            throws ProxyException {
        for (int seed = 0; seed < ROUNDS; seed++) {
            Message message = (Message) value(type, new Random(seed), 0.3);
            assertEquals(mReference.decode(mCodec.encode(message)), message);
            assertEquals(mCodec.decode(mReference.encode(message)), message);
            assertEquals(mCodec.decode(mCodec.encode(message)), message);
        }
    }

    /**
     * Guards against a host that can't read what a host of a later or an earlier version sends:
     * later ones append components, which are skipped, and those that earlier ones lack are absent.
     */
    @Test(dataProvider = "encodedTypes")
    public void unknownComponentsAreSkippedAndMissingOnesAreAbsent(Class<?> type)
            throws ProxyException, IOException {
        var random = new Random(1);
        for (int round = 0; round < ROUNDS; round++) {
            byte[] bytes = mReference.encode((Message) value(type, random, 0));
            byte[] longer = withBody(bytes, appended(body(bytes)));
            assertEquals(mCodec.decode(longer), mCodec.decode(bytes));
        }
        var use = new FleetMessage.TargetUse(TargetId.of("a"), 1, 2, 1, 5, 0.5, 700, 900, 130);
        var report = report(new FleetMessage.InFlight(List.of(use), true));
        byte[] bytes = mReference.encode(new FleetMessage.Reports(List.of(report), List.of()));
        assertEquals(
                mCodec.decode(withBody(bytes, withoutLastOfUses(body(bytes)))),
                new FleetMessage.Reports(
                        List.of(
                                report(
                                        new FleetMessage.InFlight(
                                                List.of(
                                                        FleetMessage.TargetUse.of(
                                                                TargetId.of("a"), 1, 2, 1)),
                                                true))),
                        List.of()));
    }

    private static FleetMessage.HostReport report(FleetMessage.InFlight inFlight) {
        return new FleetMessage.HostReport(
                HostId.of("h"), 1, 2, inFlight, null, null, List.of(), null, List.of());
    }

    private static ImmutableValue body(byte[] bytes) throws IOException {
        try (var unpacker = MessagePack.newDefaultUnpacker(bytes, 2, bytes.length - 2)) {
            return unpacker.unpackValue();
        }
    }

    private static byte[] withBody(byte[] bytes, Value body) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.writePayload(bytes, 0, 2);
            packer.packValue(body);
            return packer.toByteArray();
        }
    }

    /** Appends components to a record. */
    private static Value appended(Value value) {
        Value[] values =
                Stream.concat(
                                value.asArrayValue().list().stream(),
                                Stream.of(
                                        ValueFactory.newString("later"),
                                        ValueFactory.newArray(ValueFactory.newInteger(7))))
                        .toArray(Value[]::new);
        return ValueFactory.newArray(values);
    }

    /** Removes the last two components of the only target use of the only report. */
    private static Value withoutLastOfUses(Value body) {
        Value report = body.asArrayValue().get(0).asArrayValue().get(0);
        Value inFlight = report.asArrayValue().get(3);
        Value use = inFlight.asArrayValue().get(0).asArrayValue().get(0);
        Value shorter = ValueFactory.newArray(use.asArrayValue().list().subList(0, 4));
        Value changed = replaced(inFlight, 0, ValueFactory.newArray(shorter));
        Value reports = ValueFactory.newArray(replaced(report, 3, changed));
        return replaced(body, 0, reports);
    }

    private static Value replaced(Value array, int index, Value value) {
        Value[] values = array.asArrayValue().list().toArray(Value[]::new);
        values[index] = value;
        return ValueFactory.newArray(values);
    }

    /** Guards against damaged bytes that end a connection's thread or reserve much memory. */
    @Test(dataProvider = "encodedTypes")
    public void damagedBytesAreRefusedAsMalformedOrRead(Class<?> type) {
        var random = new Random(1);
        for (int round = 0; round < ROUNDS; round++) {
            byte[] bytes = mCodec.encode((Message) value(type, random, 0.2));
            for (int i = 0; i < 50; i++) {
                byte[] damaged = Arrays.copyOf(bytes, bytes.length - random.nextInt(3));
                damaged[2 + random.nextInt(damaged.length - 2)] = (byte) random.nextInt();
                try {
                    mCodec.decode(damaged);
                } catch (ProxyException e) {
                    assertSame(e.kind(), ErrorKind.MALFORMED_REQUEST);
                }
            }
        }
    }

    /** Guards against ids that share a slot of the cache and are taken for each other. */
    @Test
    public void idsThatShareASlotAreDistinguished() {
        IdCache<HostId> cache = IdCache.of(HostId::of);
        for (int round = 0; round < 2; round++) {
            for (int n = 0; n < 5_000; n++) {
                byte[] text = ("host-" + n + "     ").getBytes();
                int length = ("host-" + n).length();
                assertEquals(cache.get(text, length), HostId.of("host-" + n));
            }
        }
    }

    /** Returns a value whose parts are absent or extreme with a probability. */
    private static Object value(Type type, Random random, double absentProbability) {
        boolean isSpecial = random.nextDouble() < absentProbability;
        if (type == int.class) {
            return isSpecial ? special(random, 0, Integer.MAX_VALUE) : 1 + random.nextInt(70_000);
        } else if (type == long.class || type == Long.class) {
            return isSpecial ? special(random, 0L, Long.MIN_VALUE) : 1 + (random.nextLong() >>> 1);
        } else if (type == double.class) {
            return isSpecial
                    ? special(random, 0.0, -0.0, -3.0, 1e300, Double.NaN)
                    : 1 + random.nextInt(5) + random.nextInt(4) / 4.0;
        } else if (type == boolean.class) {
            return !isSpecial;
        } else if (type == String.class) {
            return "n" + Integer.toString(random.nextInt(100_000), 36);
        } else if (type instanceof ParameterizedType list && list.getRawType() == List.class) {
            Type element = list.getActualTypeArguments()[0];
            return IntStream.range(0, isSpecial ? 0 : 1 + random.nextInt(3))
                    .mapToObj(n -> value(element, random, absentProbability))
                    .toList();
        } else if (type instanceof Class<?> record && record.isRecord()) {
            return record(record, random, absentProbability);
        }
        throw new IllegalArgumentException("add values of " + type);
    }

    private static Object special(Random random, Object... values) {
        return values[random.nextInt(values.length)];
    }

    private static Object record(Class<?> type, Random random, double absentProbability) {
        RecordComponent[] components = type.getRecordComponents();
        Object[] values =
                Arrays.stream(components)
                        .map(c -> isAbsent(c, random, absentProbability) ? null : c)
                        .map(
                                c ->
                                        c == null
                                                ? null
                                                : value(
                                                        c.getGenericType(),
                                                        random,
                                                        absentProbability))
                        .toArray();
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class[]::new);
        try {
            Constructor<?> constructor = type.getDeclaredConstructor(types);
            constructor.setAccessible(true);
            return constructor.newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Returns whether a component is left out. Records may be null, but not ids, except for the
     * request of a crash.
     */
    private static boolean isAbsent(RecordComponent c, Random random, double probability) {
        boolean isId =
                c.getType().isRecord()
                        && c.getType().getRecordComponents()[0].getType() == String.class;
        boolean isOptional = c.getType().isRecord() && !isId || c.getName().equals("request");
        return isOptional && random.nextDouble() < probability;
    }
}
