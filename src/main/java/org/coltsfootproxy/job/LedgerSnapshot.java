package org.coltsfootproxy.job;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.PartialOutput;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes ledger snapshots as MessagePack: a header, then each job's head and items.
 *
 * <p>Items are written field by field, so that encoding takes little longer than copying their
 * payloads.
 */
final class LedgerSnapshot {
    private static final int VERSION = 6;

    /** Version that lacks the partial output of items that have not ended. */
    private static final int VERSION_WITHOUT_PARTIAL_OUTPUT = 2;

    /** Version in which partial outputs don't name the software version that they come from. */
    private static final int VERSION_WITHOUT_SOFTWARE_VERSIONS = 3;

    /** Version in which partial outputs don't name the run that they come from. */
    private static final int VERSION_WITHOUT_RUNS = 4;

    /** Version in which partial outputs don't name the service that they come from. */
    private static final int VERSION_WITHOUT_SERVICES = 5;

    private static final ItemState[] STATES = ItemState.values();
    private static final ObjectMapper HEAD_MAPPER = new ObjectMapper(new MessagePackFactory());

    private LedgerSnapshot() {}

    static byte[] encode(JobTable table) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(VERSION).packLong(table.term()).packLong(table.lastNumber());
            packer.packLong(table.lastCommandMillis());
            packer.packInt(table.size());
            for (LedgerJob job : (Iterable<LedgerJob>) table.jobs()::iterator) {
                encode(job, packer);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("can't encode the job ledger", e);
        }
    }

    private static void encode(LedgerJob job, MessageBufferPacker packer) throws IOException {
        writeBytes(HEAD_MAPPER.writeValueAsBytes(job.head()), packer);
        ItemTable items = job.items();
        packer.packInt(items.size());
        for (int i = 0; i < items.size(); i++) {
            packer.packByte((byte) items.state(i).ordinal()).packLong(items.hashAt(i));
            writeBytes(items.payload(i), packer);
            encode(items.failure(i), packer);
            encode(items.run(i), packer);
            encode(items.keptOutput(i), packer);
        }
        packer.packInt(items.resultCount());
        for (int position = 0; position < items.resultCount(); position++) {
            packer.packInt(items.resultAt(position));
        }
    }

    private static void encode(ItemTable.FailureRecord failure, MessageBufferPacker packer)
            throws IOException {
        if (failure == null) {
            packer.packNil();
            return;
        }
        packer.packInt(failure.attempts()).packLong(failure.notBeforeEpochMillis());
        packer.packString(failure.error()).packLong(failure.fence());
    }

    private static void encode(ItemTable.Run run, MessageBufferPacker packer) throws IOException {
        if (run == null) {
            packer.packNil();
            return;
        }
        packer.packLong(run.fence()).packString(run.agent());
    }

    private static void encode(KeptOutput kept, MessageBufferPacker packer) throws IOException {
        PartialOutput output = kept.output();
        if (output.bytes().length == 0) {
            packer.packNil();
            return;
        }
        writeBytes(output.bytes(), packer);
        packer.packString(output.lastEvent());
        if (output.version() == null) {
            packer.packNil();
        } else {
            packer.packString(output.version().value());
        }
        packer.packLong(kept.fence()).packInt(kept.restarts());
        if (output.service() == null) {
            packer.packNil();
        } else {
            packer.packString(output.service().value());
        }
    }

    private static void writeBytes(byte[] bytes, MessageBufferPacker packer) throws IOException {
        packer.packBinaryHeader(bytes.length).addPayload(bytes);
    }

    static JobTable decode(byte[] snapshot) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(snapshot)) {
            int version = unpacker.unpackInt();
            if (version < VERSION_WITHOUT_PARTIAL_OUTPUT || version > VERSION) {
                throw new IllegalStateException(
                        "unsupported version of the job ledger snapshot: " + version);
            }
            JobTable table =
                    JobTable.restore(
                            unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
            int jobs = unpacker.unpackInt();
            for (int i = 0; i < jobs; i++) {
                table.put(decodeJob(version, unpacker));
            }
            return table;
        } catch (IOException e) {
            throw new UncheckedIOException("can't decode the job ledger", e);
        }
    }

    private static LedgerJob decodeJob(int version, MessageUnpacker unpacker) throws IOException {
        byte[] head = readBytes(unpacker);
        LedgerJob job =
                LedgerJob.restore(HEAD_MAPPER.readValue(head, LedgerJob.SnapshotHead.class));
        int items = unpacker.unpackInt();
        for (int i = 0; i < items; i++) {
            ItemState state = STATES[unpacker.unpackByte()];
            long hash = unpacker.unpackLong();
            byte[] payload = readBytes(unpacker);
            ItemTable.FailureRecord failure = decodeFailure(unpacker);
            job.items().restore(state, hash, payload, failure, decodeRun(unpacker));
            if (version > VERSION_WITHOUT_PARTIAL_OUTPUT && !unpacker.tryUnpackNil()) {
                job.items().setKeptOutput(i, decodeKeptOutput(version, unpacker));
            }
        }
        int resultCount = unpacker.unpackInt();
        for (int position = 0; position < resultCount; position++) {
            job.items().restoreResultOrder(unpacker.unpackInt());
        }
        return job;
    }

    private static ItemTable.FailureRecord decodeFailure(MessageUnpacker unpacker)
            throws IOException {
        return unpacker.tryUnpackNil()
                ? null
                : new ItemTable.FailureRecord(
                        unpacker.unpackInt(),
                        unpacker.unpackLong(),
                        unpacker.unpackString(),
                        unpacker.unpackLong());
    }

    private static ItemTable.Run decodeRun(MessageUnpacker unpacker) throws IOException {
        return unpacker.tryUnpackNil()
                ? null
                : new ItemTable.Run(unpacker.unpackLong(), unpacker.unpackString());
    }

    private static KeptOutput decodeKeptOutput(int version, MessageUnpacker unpacker)
            throws IOException {
        byte[] output = readBytes(unpacker);
        String lastEvent = unpacker.unpackString();
        boolean isVersionKnown =
                version > VERSION_WITHOUT_SOFTWARE_VERSIONS && !unpacker.tryUnpackNil();
        SoftwareVersion software =
                isVersionKnown ? SoftwareVersion.of(unpacker.unpackString()) : null;
        boolean isRunKnown = version > VERSION_WITHOUT_RUNS;
        long fence = isRunKnown ? unpacker.unpackLong() : 0;
        int restarts = isRunKnown ? unpacker.unpackInt() : 0;
        boolean isServiceKnown = version > VERSION_WITHOUT_SERVICES && !unpacker.tryUnpackNil();
        ServiceId service = isServiceKnown ? ServiceId.of(unpacker.unpackString()) : null;
        return new KeptOutput(
                new PartialOutput(output, lastEvent, software, service), fence, restarts);
    }

    private static byte[] readBytes(MessageUnpacker unpacker) throws IOException {
        return unpacker.readPayload(unpacker.unpackBinaryHeader());
    }
}
