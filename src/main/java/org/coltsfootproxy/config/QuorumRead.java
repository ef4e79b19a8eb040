package org.coltsfootproxy.config;

/** Confirms with a quorum that this replica's state is current. */
@FunctionalInterface
public interface QuorumRead {
    /**
     * Starts a confirmation.
     *
     * @param callback receives the outcome once, on the same thread, either during this call or in
     *     a later step
     */
    void read(Callback callback);

    /** Receives the outcome of a confirmation. */
    interface Callback {
        /**
         * Called when this replica has applied everything committed before the confirmation began.
         */
        void confirmed();

        /** Called when no quorum answered. */
        void failed();
    }
}
