package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;

/**
 * Reads the platform's list of targets, page by page.
 *
 * <p>A list is used only if no page of it failed; after a failed read, the last list stays in
 * force.
 */
public final class TargetListReader {
    /** Time limit for one page; the list is on the same network. */
    private static final long PAGE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Maximum number of pages; a longer list is not used. */
    private static final int MAX_PAGES = 1_000;

    /** Size above which a page is not read any further. */
    static final int MAX_PAGE_BYTES = 2 << 20;

    /** Size above which a list is not read any further; some 30,000 targets. */
    static final int MAX_LIST_BYTES = 8 << 20;

    private static final int OK = 200;

    private final String mAddress;
    private final TargetListProtocol mProtocol;
    private final TargetCalls mCalls;
    private final List<ListedTarget> mTargets = new ArrayList<>();
    private BiConsumer<List<ListedTarget>, Effects> mListener = (targets, out) -> {};
    private boolean mIsReading;
    private boolean mHasFailed;
    private int mPages;
    private long mBytes;
    private int mDamaged;
    private int mLastDamaged;

    private TargetListReader(String address, TargetListProtocol protocol, TargetCalls calls) {
        mAddress = checkNotNull(address, "address");
        mProtocol = checkNotNull(protocol, "protocol");
        mCalls = checkNotNull(calls, "calls");
    }

    /**
     * Returns a reader.
     *
     * @param address IP address and port of the list
     */
    public static TargetListReader create(
            String address, TargetListProtocol protocol, TargetCalls calls) {
        return new TargetListReader(address, protocol, calls);
    }

    /** Sets the listener, which receives each complete list, ordered by target id. */
    void listener(BiConsumer<List<ListedTarget>, Effects> listener) {
        mListener = checkNotNull(listener, "listener");
    }

    /** Starts to read the list, unless a read is in progress. */
    void read(Effects out) {
        if (!mIsReading) {
            mIsReading = true;
            mTargets.clear();
            mPages = 0;
            mBytes = 0;
            mDamaged = 0;
            readPage(mProtocol.firstPath(), out);
        }
    }

    private void readPage(String path, Effects out) {
        Effect.TargetCall call =
                new Effect.TargetCall(
                        mCalls.nextCall(),
                        TrafficClass.BATCH,
                        "GET",
                        path,
                        List.of(),
                        new byte[0],
                        PAGE_TIMEOUT_NANOS);
        mCalls.start(mAddress, call, new PageAnswer(call.call()), out);
    }

    /** Collects the answer for one page. */
    private final class PageAnswer implements TargetCalls.Handler {
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private final long mCall;
        private int mStatus;

        PageAnswer(long call) {
            mCall = call;
        }

        @Override
        public void head(Input.TargetHead head, long nowNanos, Effects out) {
            mStatus = head.status();
        }

        @Override
        public void chunk(byte[] bytes, long nowNanos, Effects out) {
            mBody.writeBytes(bytes);
            mBytes += bytes.length;
            if (mBody.size() > MAX_PAGE_BYTES) {
                mCalls.cancel(mCall, out);
                fail("a page has more than " + MAX_PAGE_BYTES + " bytes", out);
            } else if (mBytes > MAX_LIST_BYTES) {
                mCalls.cancel(mCall, out);
                fail("the list has more than " + MAX_LIST_BYTES + " bytes", out);
            }
        }

        @Override
        public void ended(Input.TargetEnd end, long nowNanos, Effects out) {
            if (mStatus == OK) {
                handlePage(mBody.toByteArray(), out);
            } else {
                fail("status " + mStatus, out);
            }
        }

        @Override
        public void failed(Input.TargetFailed failure, long nowNanos, Effects out) {
            fail(failure.kind().label() + ": " + failure.detail(), out);
        }
    }

    private void handlePage(byte[] body, Effects out) {
        Optional<TargetListProtocol.Page> page = parsePage(body, out);
        if (page.isEmpty()) {
            return;
        }
        mTargets.addAll(page.get().targets());
        mDamaged += page.get().damaged();
        mPages++;
        if (page.get().nextPath().isEmpty()) {
            finish(out);
        } else if (mPages < MAX_PAGES) {
            readPage(page.get().nextPath().get(), out);
        } else {
            fail("the list has more than " + MAX_PAGES + " pages", out);
        }
    }

    private Optional<TargetListProtocol.Page> parsePage(byte[] body, Effects out) {
        try {
            return Optional.of(mProtocol.read(body));
        } catch (ProxyException e) {
            fail(e.getMessage(), out);
        } catch (RuntimeException | StackOverflowError e) {
            // Without an end of this read, no other read would ever begin.
            fail(e.toString(), out);
        }
        return Optional.empty();
    }

    private void finish(Effects out) {
        mIsReading = false;
        mHasFailed = false;
        if (mDamaged > 0 && mDamaged != mLastDamaged) {
            out.log(EventCode.TARGET_ENTRY_DAMAGED, mDamaged + " entries");
        }
        mLastDamaged = mDamaged;
        TreeMap<TargetId, ListedTarget> byId = new TreeMap<>();
        mTargets.forEach(target -> byId.put(target.id(), target));
        mListener.accept(List.copyOf(byId.values()), out);
    }

    private void fail(String why, Effects out) {
        mIsReading = false;
        if (!mHasFailed) {
            mHasFailed = true;
            out.log(EventCode.TARGETS_UNREADABLE, why);
        }
    }
}
