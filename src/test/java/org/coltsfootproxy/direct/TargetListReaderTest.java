package org.coltsfootproxy.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;
import org.testng.annotations.Test;

/** Tests that a read of the list of targets holds a bounded number of bytes. */
public final class TargetListReaderTest {
    private static final int BLOCK_BYTES = 64 << 10;
    private static final int OK = 200;

    private final List<Effect> mEffects = new ArrayList<>();
    private final List<List<ListedTarget>> mLists = new ArrayList<>();
    private final TargetCalls mCalls = TargetCalls.create();
    private boolean mHasNextPage;

    /** A list whose pages are not looked at. */
    private final class Pages implements TargetListProtocol {
        @Override
        public String firstPath() {
            return "/list";
        }

        @Override
        public Page read(byte[] body) {
            return new Page(List.of(), 0, mHasNextPage ? Optional.of("/list") : Optional.empty());
        }
    }

    private TargetListReader reader() {
        TargetListReader reader = TargetListReader.create("10.0.0.1:80", new Pages(), mCalls);
        reader.listener((targets, out) -> mLists.add(targets));
        mEffects.clear();
        mLists.clear();
        return reader;
    }

    private long lastCall() {
        return mEffects.stream()
                .filter(Effect.AddressedTargetCall.class::isInstance)
                .mapToLong(effect -> ((Effect.AddressedTargetCall) effect).call().call())
                .max()
                .orElseThrow();
    }

    private boolean hasFailed() {
        return mEffects.stream()
                .anyMatch(
                        e ->
                                e instanceof Effect.Log log
                                        && log.code() == EventCode.TARGETS_UNREADABLE);
    }

    private void sendPage(int bytes) {
        long call = lastCall();
        mCalls.handle(new Input.TargetHead(call, OK, List.of()), 0, mEffects::add);
        byte[] body = "x".repeat(bytes).getBytes(StandardCharsets.US_ASCII);
        mCalls.handle(new Input.TargetChunk(call, body), 0, mEffects::add);
        mCalls.handle(new Input.TargetEnd(call), 0, mEffects::add);
    }

    /** Guards against a control host whose heap fills with a list that has no end. */
    @Test
    public void aListWhosePagesHaveNoEndIsNotReadAnyFurther() {
        TargetListReader reader = reader();
        mHasNextPage = true;
        reader.read(mEffects::add);
        long read = 0;
        while (!hasFailed() && read <= 4L * TargetListReader.MAX_LIST_BYTES) {
            sendPage(BLOCK_BYTES);
            read += BLOCK_BYTES;
        }
        assertTrue(hasFailed(), read + " bytes");
        assertEquals(mLists.size(), 0);
        mHasNextPage = false;
        reader.read(mEffects::add);
        sendPage(BLOCK_BYTES);
        assertEquals(mLists.size(), 1);
    }

    /** Guards against a control host whose heap fills with a page that has no end. */
    @Test
    public void aPageWithoutEndIsNotReadAnyFurther() {
        TargetListReader reader = reader();
        reader.read(mEffects::add);
        long call = lastCall();
        mCalls.handle(new Input.TargetHead(call, OK, List.of()), 0, mEffects::add);
        int read = 0;
        while (!hasFailed() && read <= 4 * TargetListReader.MAX_PAGE_BYTES) {
            mCalls.handle(new Input.TargetChunk(call, new byte[BLOCK_BYTES]), 0, mEffects::add);
            read += BLOCK_BYTES;
        }
        assertTrue(mEffects.contains(new Effect.TargetCancel(call)));
        assertTrue(read <= (2 << 20) + BLOCK_BYTES, read + " bytes");
    }
}
