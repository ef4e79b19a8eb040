package org.coltsfootproxy.job;

import java.util.Objects;
import org.coltsfootproxy.message.ItemProgress;
import org.coltsfootproxy.message.PartialOutput;

/**
 * Partial output of an item and the run that sent its last piece.
 *
 * <p>Output of a run is continued only by that run, or by one of a later lease that was resumed
 * after exactly this output. Two runs may have the same number of bytes, so the offset of a piece
 * alone does not tell.
 *
 * @param fence fencing number of the run's lease; 0 if unknown
 * @param restarts how often the item had begun anew under the lease
 */
record KeptOutput(PartialOutput output, long fence, int restarts) {
    /** No output. */
    static final KeptOutput NONE = new KeptOutput(PartialOutput.NONE, 0, 0);

    /** Returns whether a piece directly follows this output. */
    boolean isContinuedBy(ItemProgress progress) {
        return progress.offset() == output.bytes().length
                && (isEmpty() || isOfSameSource(progress))
                && (isOfSameRun(progress) || isFirstOfLaterRun(progress));
    }

    /**
     * Returns whether a piece is the first of a later run that was resumed after this output. An
     * output that was replaced since the item was leased may have as many bytes.
     */
    private boolean isFirstOfLaterRun(ItemProgress progress) {
        return isOfLaterRun(progress)
                && progress.leased() == progress.offset()
                && (isEmpty() || output.lastEvent().equals(progress.leasedEvent()));
    }

    /** Returns whether a piece is the first of a run that takes the place of this output. */
    boolean isReplacedBy(ItemProgress progress) {
        return progress.offset() == 0
                && (isOfLaterRun(progress) || isOfSameRun(progress) && !isOfSameSource(progress));
    }

    private boolean isEmpty() {
        return output.bytes().length == 0;
    }

    private boolean isOfSameSource(ItemProgress progress) {
        return Objects.equals(output.version(), progress.piece().version())
                && Objects.equals(output.service(), progress.piece().service());
    }

    private boolean isOfSameRun(ItemProgress progress) {
        return progress.lease().fence() == fence && progress.restarts() == restarts;
    }

    private boolean isOfLaterRun(ItemProgress progress) {
        return progress.lease().fence() > fence
                || progress.lease().fence() == fence && progress.restarts() > restarts;
    }
}
