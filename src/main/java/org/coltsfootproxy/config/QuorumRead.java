package org.coltsfootproxy.config;

/** Confirms through a quorum that this replica's state is current. */
@FunctionalInterface
public interface QuorumRead {
    /**
     * Begins a confirmation.
     *
     * @param done told once, on the same thread, now or in a later step
     */
    void read(Done done);

    /** Told what became of a confirmation. */
    interface Done {
        /** This replica has applied all that was committed before the confirmation began. */
        void confirmed();

        /** No quorum answered. */
        void failed();
    }
}
