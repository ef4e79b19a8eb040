package org.coltsfootproxy.limit;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The recent periods in which a bucket was full and its refill was lost.
 *
 * <p>The owner learns late that a token was used. Had it learnt this at once, the refill from that
 * time on would not have been lost. Each lost period is credited once. The oldest period that a
 * report allows is credited first, so that later ones remain for reports of later use.
 */
final class LostRefill {
    private static final double SECOND_NANOS = 1e9;

    /** A period from {@code from}, inclusive, to {@code to}, exclusive. */
    private record Span(long from, long to) {}

    private final List<Span> mSpans = new ArrayList<>();

    /** Adds a period, which must not begin before the end of the last one added. */
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

    /** Removes the periods that ended at or before {@code time}. */
    void forgetBefore(long time) {
        while (!mSpans.isEmpty() && mSpans.get(0).to() <= time) {
            mSpans.remove(0);
        }
    }

    /** Removes all periods. */
    void clear() {
        mSpans.clear();
    }

    /** Removes up to {@code tokens} of the refill lost since a time; returns the amount removed. */
    double take(double tokens, long since, double rate) {
        double nanosLeft = tokens / rate * SECOND_NANOS;
        List<Span> remaining = new ArrayList<>();
        Iterator<Span> spans = List.copyOf(mSpans).iterator();
        while (spans.hasNext()) {
            Span span = spans.next();
            long start = Math.max(span.from(), since);
            long taken = (long) Math.max(0, Math.min(nanosLeft, span.to() - start));
            nanosLeft -= taken;
            if (taken == 0) {
                remaining.add(span);
            } else {
                addUnlessEmpty(remaining, span.from(), start);
                addUnlessEmpty(remaining, start + taken, span.to());
            }
        }
        mSpans.clear();
        mSpans.addAll(remaining);
        return Math.max(0, tokens - nanosLeft * rate / SECOND_NANOS);
    }

    private static void addUnlessEmpty(List<Span> spans, long from, long to) {
        if (from < to) {
            spans.add(new Span(from, to));
        }
    }
}
