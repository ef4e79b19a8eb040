package org.coltsfootproxy.membership;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.HostEntry;

/**
 * Which hosts the platform's host list excludes from new work.
 *
 * <p>The list lags and may miss entries, so only one state has an effect: a host listed as leaving
 * gets no new work until a later list shows it as live. A host absent from the list is judged by
 * its health alone, and a list that can't be read changes nothing.
 */
public final class HostView {
    /** Maximum number of hosts remembered as leaving, including hosts no longer on the list. */
    private static final int MAX_LEAVING = 10_000;

    private Map<HostId, HostEntry> mListed = Map.of();
    private final Map<HostId, HostEntry> mLeaving = new LinkedHashMap<>();
    private long mVersion;
    private boolean mIsUnreadable;

    private HostView() {}

    /** Returns a view without hosts. */
    public static HostView create() {
        return new HostView();
    }

    /** Applies a listing; one with a lower version than the last is stale and is ignored. */
    public void update(HostListing listing, Effects out) {
        mIsUnreadable = false;
        if (listing.version() < mVersion) {
            return;
        }
        mVersion = listing.version();
        Map<HostId, HostEntry> listed = new LinkedHashMap<>();
        listing.hosts().forEach(entry -> listed.put(entry.host(), entry));
        mListed = listed;
        listed.values().forEach(entry -> apply(entry, out));
        evictOldest();
    }

    private void apply(HostEntry entry, Effects out) {
        if (entry.state() == HostEntry.State.LIVE) {
            mLeaving.remove(entry.host());
        } else if (mLeaving.put(entry.host(), entry) == null) {
            out.log(EventCode.HOST_LEAVING, entry.host().value());
        }
    }

    private void evictOldest() {
        var oldest = mLeaving.keySet().iterator();
        while (mLeaving.size() > MAX_LEAVING && oldest.hasNext()) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Records that the list couldn't be read; the last listing stays in force. */
    public void unreadable(String detail, Effects out) {
        if (!mIsUnreadable) {
            mIsUnreadable = true;
            out.log(EventCode.HOST_LIST_UNREADABLE, detail);
        }
    }

    /** Returns whether the host must not be given new work. */
    public boolean isLeaving(HostId host) {
        return mLeaving.containsKey(host);
    }

    /**
     * Returns the host's entry in the last listing. An absent entry does not mean that the host is
     * unhealthy.
     */
    public Optional<HostEntry> entry(HostId host) {
        return Optional.ofNullable(mListed.get(host));
    }
}
