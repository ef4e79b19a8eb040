package org.coltsfootproxy.limit;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The recent times at which a bucket was full and its refill was lost.
 *
 * <p>The owner hears late that a token was used; had it known, the refill from then on would have
 * found room. Each lost moment is made good once, the oldest that a report allows first, so that
 * later ones are left for reports of later use.
 */
final class LostRefill {
    private static final double SECOND_NANOS = 1e9;

    /** A time without a gap, from its start to before its end. */
    private record Span(long from, long to) {}

    private final List<Span> mSpans = new ArrayList<>();

    /** Notes that refill was lost in a time after all noted before. */
    void add(long from, long to) {
        if (from >= to) {
            return;
        }
        int last = mSpans.size() - 1;
        if (last >= 0 && mSpans.get(last).to() == from) {
            mSpans.set(last, new Span(mSpans.get(last).from(), to));
        } else {
            mSpans.add(new Span(from, to));
        }
    }

    /** Forgets what was lost before a time. */
    void forgetBefore(long time) {
        while (!mSpans.isEmpty() && mSpans.get(0).to() <= time) {
            mSpans.remove(0);
        }
    }

    /** Forgets all. */
    void clear() {
        mSpans.clear();
    }

    /** Takes up to {@code tokens} of the refill lost since a time; returns what was there. */
    double take(double tokens, long since, double rate) {
        double nanosLeft = tokens / rate * SECOND_NANOS;
        List<Span> rest = new ArrayList<>();
        Iterator<Span> spans = List.copyOf(mSpans).iterator();
        while (spans.hasNext()) {
            Span span = spans.next();
            long start = Math.max(span.from(), since);
            long taken = (long) Math.max(0, Math.min(nanosLeft, span.to() - start));
            nanosLeft -= taken;
            if (taken == 0) {
                rest.add(span);
            } else {
                addTo(rest, span.from(), start);
                addTo(rest, start + taken, span.to());
            }
        }
        mSpans.clear();
        mSpans.addAll(rest);
        return Math.max(0, tokens - nanosLeft * rate / SECOND_NANOS);
    }

    private static void addTo(List<Span> spans, long from, long to) {
        if (from < to) {
            spans.add(new Span(from, to));
        }
    }
}
