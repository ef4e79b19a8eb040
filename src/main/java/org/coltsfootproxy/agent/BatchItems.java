package org.coltsfootproxy.agent;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.job.ItemPuller;
import org.coltsfootproxy.job.ItemRunner;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.LeasedItem;
import org.coltsfootproxy.node.Effects;

/** Pulls batch items from every job group while the target has idle slots, and runs them. */
final class BatchItems {
    private final Dispatcher mDispatcher;
    private final ToDoubleFunction<OrganisationId> mWeights;
    private final List<Group> mGroups;
    private int mFirstGroup;

    private BatchItems(
            Dispatcher dispatcher,
            ToDoubleFunction<OrganisationId> weights,
            AgentSettings settings,
            List<HostId> controls) {
        mDispatcher = dispatcher;
        mWeights = weights;
        mGroups =
                IntStream.rangeClosed(1, settings.jobGroups())
                        .mapToObj(number -> new Group(number, settings, controls))
                        .toList();
    }

    /**
     * Returns an instance without batch items.
     *
     * @param weights the weight of each organisation in the admission queue
     * @param controls control hosts that items are pulled from
     */
    static BatchItems create(
            Dispatcher dispatcher,
            ToDoubleFunction<OrganisationId> weights,
            AgentSettings settings,
            List<HostId> controls) {
        return new BatchItems(dispatcher, weights, settings, controls);
    }

    /** The items of one job group. */
    private final class Group implements ItemRunner {
        private final int mNumber;
        private final ItemPuller mPuller;
        private final Map<LeaseRef, BatchRun> mRuns = new HashMap<>();

        Group(int number, AgentSettings settings, List<HostId> controls) {
            mNumber = number;
            mPuller =
                    ItemPuller.create(
                            number, settings.incarnation(), settings.service(), 1, controls, this);
        }

        @Override
        public void run(LeasedItem item, long nowNanos, Effects out) {
            double weight = mWeights.applyAsDouble(OrganisationId.of(item.organisation()));
            long call = mDispatcher.newCall();
            BatchRun run = BatchRun.of(item, call, weight, nowNanos, this::ended);
            mRuns.put(item.lease(), run);
            mDispatcher.submit(run, nowNanos, out);
        }

        @Override
        public void stop(LeaseRef lease, long nowNanos, Effects out) {
            Optional.ofNullable(mRuns.remove(lease))
                    .ifPresent(run -> mDispatcher.cancel(run.work().call(), nowNanos, out));
        }

        private void ended(BatchRun run, ItemReport report, long now, Effects out) {
            if (mRuns.remove(run.lease()) != null) {
                mPuller.itemEnded(report, now, out);
            }
        }
    }

    void handle(HostId from, JobMessage message, long now, Effects out) {
        mGroups.stream()
                .filter(group -> group.mNumber == message.group())
                .forEach(group -> group.mPuller.handle(from, message, now, out));
    }

    /** Sets the number of requests that the target runs at once. */
    void setCapacity(int capacity) {
        mGroups.forEach(group -> group.mPuller.setCapacity(capacity));
    }

    /** Divides the idle slots among the groups; the groups that get one more slot rotate. */
    void offerSlots(long now, Effects out) {
        int slots = mDispatcher.queue().batchSlots(now);
        int groups = mGroups.size();
        mFirstGroup = (mFirstGroup + 1) % groups;
        for (int i = 0; i < groups; i++) {
            int share = slots / groups + (i < slots % groups ? 1 : 0);
            mGroups.get((mFirstGroup + i) % groups).mPuller.setFreeSlots(share, now, out);
        }
    }

    /** Gives back items that do not run yet and pulls no further ones. */
    void stop(long now, Effects out) {
        mGroups.forEach(group -> group.mPuller.stop(now, out));
    }

    void tick(long now, Effects out) {
        mGroups.forEach(group -> group.mPuller.tick(now, out));
    }

    long nextTickNanos() {
        return mGroups.stream()
                .mapToLong(group -> group.mPuller.nextTickNanos())
                .min()
                .orElse(Long.MAX_VALUE);
    }

    boolean isDrained() {
        return mGroups.stream().allMatch(group -> group.mPuller.isDrained());
    }
}
