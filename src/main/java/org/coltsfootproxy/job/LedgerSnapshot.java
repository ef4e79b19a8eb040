package org.coltsfootproxy.job;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.PartialOutput;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes a ledger as MessagePack: a header, then each job's head and items.
 *
 * <p>Items are written field by field, so that the time is that of copying their payloads.
 */
final class LedgerSnapshot {
    private static final int VERSION = 3;

    /** Version without the output of items that have not ended. */
    private static final int VERSION_WITHOUT_MADE = 2;

    private static final ItemState[] STATES = ItemState.values();
    private static final ObjectMapper HEADS = new ObjectMapper(new MessagePackFactory());

    private LedgerSnapshot() {}

    static byte[] encode(JobShelf shelf) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(VERSION).packLong(shelf.term()).packLong(shelf.lastNumber());
            packer.packLong(shelf.lastMillis());
            packer.packInt(shelf.size());
            for (LedgerJob job : (Iterable<LedgerJob>) shelf.jobs()::iterator) {
                encode(job, packer);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("can't encode the job ledger", e);
        }
    }

    private static void encode(LedgerJob job, MessageBufferPacker packer) throws IOException {
        writeBytes(HEADS.writeValueAsBytes(job.head()), packer);
        ItemTable items = job.items();
        packer.packInt(items.size());
        for (int i = 0; i < items.size(); i++) {
            packer.packByte((byte) items.state(i).ordinal()).packLong(items.hashAt(i));
            writeBytes(items.payload(i), packer);
            encode(items.trouble(i), packer);
            encode(items.run(i), packer);
            encode(items.made(i), packer);
        }
        packer.packInt(items.ended());
        for (int position = 0; position < items.ended(); position++) {
            packer.packInt(items.endedAt(position));
        }
    }

    private static void encode(ItemTable.Trouble trouble, MessageBufferPacker packer)
            throws IOException {
        if (trouble == null) {
            packer.packNil();
            return;
        }
        packer.packInt(trouble.attempts()).packLong(trouble.notBeforeEpochMillis());
        packer.packString(trouble.error()).packLong(trouble.fence());
    }

    private static void encode(ItemTable.Run run, MessageBufferPacker packer) throws IOException {
        if (run == null) {
            packer.packNil();
            return;
        }
        packer.packLong(run.fence()).packString(run.agent());
    }

    private static void encode(PartialOutput made, MessageBufferPacker packer) throws IOException {
        if (made.bytes().length == 0) {
            packer.packNil();
            return;
        }
        writeBytes(made.bytes(), packer);
        packer.packString(made.lastEvent());
    }

    private static void writeBytes(byte[] bytes, MessageBufferPacker packer) throws IOException {
        packer.packBinaryHeader(bytes.length).addPayload(bytes);
    }

    static JobShelf decode(byte[] snapshot) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(snapshot)) {
            int version = unpacker.unpackInt();
            if (version != VERSION && version != VERSION_WITHOUT_MADE) {
                throw new IllegalStateException("unknown version of the job ledger " + version);
            }
            JobShelf shelf =
                    JobShelf.restore(
                            unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
            int jobs = unpacker.unpackInt();
            for (int i = 0; i < jobs; i++) {
                shelf.put(decodeJob(version, unpacker));
            }
            return shelf;
        } catch (IOException e) {
            throw new UncheckedIOException("can't decode the job ledger", e);
        }
    }

    private static LedgerJob decodeJob(int version, MessageUnpacker unpacker) throws IOException {
        byte[] head = readBytes(unpacker);
        LedgerJob job = LedgerJob.restore(HEADS.readValue(head, LedgerJob.SnapshotHead.class));
        int items = unpacker.unpackInt();
        for (int i = 0; i < items; i++) {
            ItemState state = STATES[unpacker.unpackByte()];
            long hash = unpacker.unpackLong();
            byte[] payload = readBytes(unpacker);
            ItemTable.Trouble trouble = decodeTrouble(unpacker);
            job.items().restore(state, hash, payload, trouble, decodeRun(unpacker));
            if (version == VERSION && !unpacker.tryUnpackNil()) {
                byte[] made = readBytes(unpacker);
                job.items().setMade(i, new PartialOutput(made, unpacker.unpackString()));
            }
        }
        int ended = unpacker.unpackInt();
        for (int position = 0; position < ended; position++) {
            job.items().restoreEnded(unpacker.unpackInt());
        }
        return job;
    }

    private static ItemTable.Trouble decodeTrouble(MessageUnpacker unpacker) throws IOException {
        return unpacker.tryUnpackNil()
                ? null
                : new ItemTable.Trouble(
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

    private static byte[] readBytes(MessageUnpacker unpacker) throws IOException {
        return unpacker.readPayload(unpacker.unpackBinaryHeader());
    }
}
