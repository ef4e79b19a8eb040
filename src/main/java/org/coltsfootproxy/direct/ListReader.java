package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
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
 * <p>A reading counts only as a whole; one that fails leaves the last list in force.
 */
public final class ListReader {
    /** Time for one page; the list is on the same network. */
    private static final long PAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    private static final int MAX_PAGES = 1_000;
    private static final int OK = 200;

    private final String mAddress;
    private final TargetListProtocol mProtocol;
    private final TargetCalls mCalls;
    private final List<ListedTarget> mTargets = new ArrayList<>();
    private BiConsumer<List<ListedTarget>, Effects> mListener = (targets, out) -> {};
    private boolean mIsReading;
    private boolean mIsUnreadable;
    private int mPages;
    private int mDamaged;
    private int mDamagedBefore;

    private ListReader(String address, TargetListProtocol protocol, TargetCalls calls) {
        mAddress = checkNotNull(address, "address");
        mProtocol = checkNotNull(protocol, "protocol");
        mCalls = checkNotNull(calls, "calls");
    }

    /**
     * Returns a reader.
     *
     * @param address IP number and port of the list
     */
    public static ListReader create(
            String address, TargetListProtocol protocol, TargetCalls calls) {
        return new ListReader(address, protocol, calls);
    }

    /** Names who is told each whole reading, ordered by the targets' ids. */
    void listener(BiConsumer<List<ListedTarget>, Effects> listener) {
        mListener = checkNotNull(listener, "listener");
    }

    /** Begins to read, unless a reading is under way. */
    void read(Effects out) {
        if (!mIsReading) {
            mIsReading = true;
            mTargets.clear();
            mPages = 0;
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
                        PAGE_NANOS);
        mCalls.start(mAddress, call, new PageAnswer(), out);
    }

    /** Gathers the answer for one page. */
    private final class PageAnswer implements TargetCalls.Handler {
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private int mStatus;

        @Override
        public void head(Input.TargetHead head, long nowNanos, Effects out) {
            mStatus = head.status();
        }

        @Override
        public void chunk(byte[] bytes, long nowNanos, Effects out) {
            mBody.writeBytes(bytes);
        }

        @Override
        public void ended(long nowNanos, Effects out) {
            if (mStatus == OK) {
                page(mBody.toByteArray(), out);
            } else {
                unreadable("status " + mStatus, out);
            }
        }

        @Override
        public void failed(Input.TargetFailed failure, long nowNanos, Effects out) {
            unreadable(failure.kind().label() + ": " + failure.detail(), out);
        }
    }

    private void page(byte[] body, Effects out) {
        try {
            TargetListProtocol.Page page = mProtocol.read(body);
            mTargets.addAll(page.targets());
            mDamaged += page.damaged();
            mPages++;
            if (page.nextPath().isPresent() && mPages < MAX_PAGES) {
                readPage(page.nextPath().get(), out);
            } else {
                whole(out);
            }
        } catch (ProxyException e) {
            unreadable(e.getMessage(), out);
        }
    }

    private void whole(Effects out) {
        mIsReading = false;
        mIsUnreadable = false;
        if (mDamaged > 0 && mDamaged != mDamagedBefore) {
            out.log(EventCode.TARGET_ENTRY_DAMAGED, mDamaged + " entries");
        }
        mDamagedBefore = mDamaged;
        TreeMap<TargetId, ListedTarget> byId = new TreeMap<>();
        mTargets.forEach(target -> byId.put(target.id(), target));
        mListener.accept(List.copyOf(byId.values()), out);
    }

    private void unreadable(String why, Effects out) {
        mIsReading = false;
        if (!mIsUnreadable) {
            mIsUnreadable = true;
            out.log(EventCode.TARGETS_UNREADABLE, why);
        }
    }
}
