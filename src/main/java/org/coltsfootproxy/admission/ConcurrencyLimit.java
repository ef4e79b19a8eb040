package org.coltsfootproxy.admission;

/** Decides how many requests may be in flight at the target. */
interface ConcurrencyLimit {
    /** Returns the current limit, at least 1. */
    int limit();

    /** Records the time between two chunks of one answer. */
    void recordGap(long gapNanos, int inFlight, long nowNanos);

    /** Records the time from the start of a request to the first chunk of its answer. */
    void recordFirstChunk(long waitNanos, int inFlight, long nowNanos);

    /** Applies new bounds. */
    void configure(AdmissionSettings settings);

    /** A limit that is always the configured maximum. */
    final class Fixed implements ConcurrencyLimit {
        private int mLimit;

        private Fixed(int limit) {
            mLimit = limit;
        }

        /** Returns a fixed limit. */
        static Fixed of(int limit) {
            return new Fixed(limit);
        }

        @Override
        public int limit() {
            return mLimit;
        }

        @Override
        public void recordGap(long gapNanos, int inFlight, long nowNanos) {
            // A fixed limit does not adapt.
        }

        @Override
        public void recordFirstChunk(long waitNanos, int inFlight, long nowNanos) {
            // A fixed limit does not adapt.
        }

        @Override
        public void configure(AdmissionSettings settings) {
            mLimit = settings.maxInFlight();
        }
    }
}
