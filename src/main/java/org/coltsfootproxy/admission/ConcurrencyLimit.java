package org.coltsfootproxy.admission;

/** Decides how many requests the target takes at a time. */
interface ConcurrencyLimit {
    /** Returns the limit in force, at least 1. */
    int limit();

    /** Notes the time between two pieces of one answer. */
    void gap(long gapNanos, int inFlight, long nowNanos);

    /** Notes the time from a hand-over to the answer's first piece. */
    void firstPiece(long waitNanos, int inFlight, long nowNanos);

    /** Takes other bounds into force. */
    void configure(AdmissionSettings settings);

    /** A limit that stays at the service's maximum. */
    final class Fixed implements ConcurrencyLimit {
        private int mLimit;

        private Fixed(int limit) {
            mLimit = limit;
        }

        /** Returns the limit of the given size. */
        static Fixed of(int limit) {
            return new Fixed(limit);
        }

        @Override
        public int limit() {
            return mLimit;
        }

        @Override
        public void gap(long gapNanos, int inFlight, long nowNanos) {
            // stays as it is
        }

        @Override
        public void firstPiece(long waitNanos, int inFlight, long nowNanos) {
            // stays as it is
        }

        @Override
        public void configure(AdmissionSettings settings) {
            mLimit = settings.maxInFlight();
        }
    }
}
