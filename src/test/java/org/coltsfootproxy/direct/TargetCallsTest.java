package org.coltsfootproxy.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.testng.annotations.Test;

/** Tests what becomes of answers that are not needed any more. */
public final class TargetCallsTest {
    private static final int BLOCK_BYTES = 16 << 10;

    private final TargetCalls mCalls = TargetCalls.create();
    private final List<Effect> mEffects = new ArrayList<>();
    private int mCancelled;

    /** Ignores the whole answer once its head has arrived. */
    private final class Refusing implements TargetCalls.Handler {
        @Override
        public void head(Input.TargetHead head, long nowNanos, Effects out) {
            mCalls.ignore(head.call(), now -> mCancelled++);
        }

        @Override
        public void chunk(byte[] bytes, long nowNanos, Effects out) {
            throw new AssertionError("a chunk of an ignored answer");
        }

        @Override
        public void ended(Input.TargetEnd end, long nowNanos, Effects out) {
            throw new AssertionError("the end of an ignored answer");
        }

        @Override
        public void failed(Input.TargetFailed failure, long nowNanos, Effects out) {
            throw new AssertionError("the failure of an ignored answer");
        }
    }

    private long callThatIsRefused() {
        mEffects.clear();
        mCancelled = 0;
        long number = mCalls.nextCall();
        var call =
                new Effect.TargetCall(
                        number, TrafficClass.ONLINE, "GET", "/x", List.of(), new byte[0], 1);
        mCalls.start("10.0.0.1:80", call, new Refusing(), mEffects::add);
        mCalls.handle(new Input.TargetHead(number, 503, List.of()), 0, mEffects::add);
        mEffects.clear();
        return number;
    }

    /** Guards against a target that is read until the deadline after it has refused a call. */
    @Test
    public void anIgnoredAnswerWithoutEndIsCancelled() {
        long call = callThatIsRefused();
        int read = 0;
        while (mEffects.isEmpty() && read < (4 << 20)) {
            mCalls.handle(new Input.TargetChunk(call, new byte[BLOCK_BYTES]), 0, mEffects::add);
            read += BLOCK_BYTES;
        }
        assertEquals(mEffects, List.of(new Effect.TargetCancel(call)));
        assertTrue(read <= TargetCalls.MAX_IGNORED_BYTES + BLOCK_BYTES, read + " bytes");
        mCalls.handle(new Input.TargetChunk(call, new byte[BLOCK_BYTES]), 0, mEffects::add);
        assertEquals(mEffects.size(), 1);
        assertEquals(mCancelled, 1);
    }

    @Test
    public void anIgnoredAnswerThatEndsLeavesItsConnectionOpen() {
        long call = callThatIsRefused();
        mCalls.handle(new Input.TargetChunk(call, new byte[BLOCK_BYTES]), 0, mEffects::add);
        mCalls.handle(new Input.TargetEnd(call), 0, mEffects::add);
        assertEquals(mEffects, List.of());
        assertEquals(mCancelled, 0);
    }
}
