package org.coltsfootproxy.membership;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.HostEntry;

/**
 * What the platform's list means for the choice of hosts.
 *
 * <p>The list lags and may be missing entries, so only one thing counts: a host listed as leaving
 * gets no new work, until a later list shows it live again. A host that is absent is judged by its
 * health alone, and a list that can't be read changes nothing.
 */
public final class HostView {
    /** Most hosts that are remembered as leaving after they left the list. */
    private static final int MAX_GONE = 10_000;

    private Map<HostId, HostEntry> mListed = Map.of();
    private final Map<HostId, HostEntry> mLeaving = new LinkedHashMap<>();
    private long mVersion;
    private boolean mIsUnreadable;

    private HostView() {}

    /** Returns a view that knows no host. */
    public static HostView create() {
        return new HostView();
    }

    /** Takes a reading; one of a lower version than the last is late and ignored. */
    public void update(HostListing listing, Effects out) {
        mIsUnreadable = false;
        if (listing.version() < mVersion) {
            return;
        }
        mVersion = listing.version();
        Map<HostId, HostEntry> listed = new LinkedHashMap<>();
        listing.hosts().forEach(entry -> listed.put(entry.host(), entry));
        mListed = listed;
        listed.values().forEach(entry -> note(entry, out));
        forgetOldest();
    }

    private void note(HostEntry entry, Effects out) {
        if (entry.state() == HostEntry.State.LIVE) {
            mLeaving.remove(entry.host());
        } else if (mLeaving.put(entry.host(), entry) == null) {
            out.log(EventCode.HOST_LEAVING, entry.host().value());
        }
    }

    private void forgetOldest() {
        var oldest = mLeaving.keySet().iterator();
        while (mLeaving.size() > MAX_GONE && oldest.hasNext()) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Notes that the list couldn't be read; what the last reading said goes on to hold. */
    public void unreadable(String detail, Effects out) {
        if (!mIsUnreadable) {
            mIsUnreadable = true;
            out.log(EventCode.HOST_LIST_UNREADABLE, detail);
        }
    }

    /** Tells whether a host must get no new work. */
    public boolean isLeaving(HostId host) {
        return mLeaving.containsKey(host);
    }

    /** Returns what the last reading says of a host; empty says nothing about its health. */
    public Optional<HostEntry> entry(HostId host) {
        return Optional.ofNullable(mListed.get(host));
    }
}
