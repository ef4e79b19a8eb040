package org.coltsfootproxy.direct;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.job.ItemPuller;
import org.coltsfootproxy.message.ItemProgress;
import org.coltsfootproxy.node.Effects;

/** Sends the output that running items have added to the hosts that keep their jobs. */
final class ItemProgressSender {
    /**
     * Interval between progress messages. It is a fifth of a typical run of some seconds, so a lost
     * host costs a tenth of a run on average.
     */
    private static final long PROGRESS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Output bytes after which no further item is added to a message; the rest goes with the next.
     */
    private static final int MAX_PROGRESS_BYTES = 256 << 10;

    private final ItemPuller mPuller;
    private long mNextProgress;

    ItemProgressSender(ItemPuller puller) {
        mPuller = puller;
    }

    /** Sends what is new, if that is due. */
    void send(Collection<ItemRun> runs, long nowNanos, Effects out) {
        if (nowNanos - mNextProgress < 0) {
            return;
        }
        mNextProgress = nowNanos + PROGRESS_INTERVAL_NANOS;
        List<ItemProgress> items = new ArrayList<>();
        int bytes = 0;
        for (ItemRun run : runs) {
            Optional<ItemProgress> progress =
                    bytes < MAX_PROGRESS_BYTES ? run.takeProgress() : Optional.empty();
            progress.ifPresent(items::add);
            bytes += progress.map(p -> p.piece().bytes().length).orElse(0);
        }
        if (!items.isEmpty()) {
            mPuller.progress(items, out);
        }
    }
}
