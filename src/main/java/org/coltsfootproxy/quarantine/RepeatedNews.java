package org.coltsfootproxy.quarantine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.node.Node;

/**
 * News for other hosts that are sent several times, because a report may be lost.
 *
 * @param <T> type of the news, compared by {@link Object#equals}
 */
final class RepeatedNews<T> {
    private static final int SENDS = 3;

    /** Interval between two sends; it spans the replacement of a lost relay. */
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int MAX_NEWS = 1_000;

    private final Map<T, Schedule> mNews = new LinkedHashMap<>();

    private static final class Schedule {
        private int mSendsLeft = SENDS;
        private long mNextAt;

        Schedule(long nextAt) {
            mNextAt = nextAt;
        }
    }

    /** Adds news, due at once. */
    void add(T news, long nowNanos) {
        mNews.putIfAbsent(news, new Schedule(nowNanos));
        if (mNews.size() > MAX_NEWS) {
            Iterator<T> oldest = mNews.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns the news to send now. */
    List<T> take(long nowNanos) {
        List<T> due =
                mNews.entrySet().stream()
                        .filter(news -> nowNanos - news.getValue().mNextAt >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        for (T news : due) {
            Schedule schedule = mNews.get(news);
            schedule.mNextAt = nowNanos + INTERVAL_NANOS;
            if (--schedule.mSendsLeft == 0) {
                mNews.remove(news);
            }
        }
        return due;
    }

    /** Returns when news are due, or {@link Node#NEVER}. */
    long nextNanos() {
        return mNews.values().stream().mapToLong(s -> s.mNextAt).min().orElse(Node.NEVER);
    }
}
