package org.coltsfootproxy.config;

/** Confirms with a quorum that this replica's state is current. */
@FunctionalInterface
public interface QuorumRead {
    /**
     * Starts a confirmation.
     *
     * @param done receives the outcome once, on the same thread, either during this call or in a
     *     later step
     */
    void read(Done done);

    /** Receives the outcome of a confirmation. */
    interface Done {
        /**
         * Called when this replica has applied everything committed before the confirmation began.
         */
        void confirmed();

        /** Called when no quorum answered. */
        void failed();
    }
}
