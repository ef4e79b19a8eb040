package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.PromptPartId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.LogField;
import org.coltsfootproxy.work.WorkEstimate;
import org.coltsfootproxy.work.WorkFeatures;
import org.coltsfootproxy.work.WorkFeatures.DeclaredSizes;
import org.coltsfootproxy.work.WorkModel;

/**
 * Decides by what the targets of each service are ranked, estimates calls and learns from them, and
 * keeps what calls claim of a target's memory within what the configuration names.
 *
 * <p>For a service that is ranked by calls and whose memory is not named, it does nothing.
 */
public final class WorkRouting {
    /** Routes, organisations and subjects that are remembered; some 400 bytes each. */
    private static final int MAX_LEVELS = 2_000;

    /**
     * Share of a target's memory that calls may claim. The rest covers calls that several hosts
     * send in the 40 ms before they hear of each other's.
     */
    private static final double MAX_CLAIMED_SHARE = 0.9;

    /** Time after which a request that found no target's memory free looks again. */
    static final long MEMORY_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final WorkModel mModel = WorkModel.create(MAX_LEVELS);
    private final TargetRanking mByCalls = new CallCountRanking();
    private final TargetRanking mByWork = new ExpectedWorkRanking();
    private final Set<ServiceId> mTellSpeed = new HashSet<>();
    private final List<ServiceId> mUnlogged = new ArrayList<>();
    private Map<ServiceId, Integer> mMemory = Map.of();
    private TargetRoutingMode mMode = TargetRoutingMode.AUTO;

    WorkRouting() {}

    /** Sets what decides. */
    public void mode(TargetRoutingMode mode) {
        mMode = checkNotNull(mode, "mode");
    }

    /** Applies the configuration in force. */
    public void configure(ConfigView view) {
        Map<ServiceId, Integer> memory = new HashMap<>();
        view.services()
                .filter(service -> service.memoryTokens() > 0)
                .forEach(service -> memory.put(service.id(), service.memoryTokens()));
        mMemory = memory;
    }

    /** Returns whether the targets of a service are ranked by expected work. */
    boolean ranksByWork(ServiceId service) {
        return mMode == TargetRoutingMode.EXPECTED_WORK
                || mMode == TargetRoutingMode.AUTO && mTellSpeed.contains(service);
    }

    /** Returns the ranking of a service's targets. */
    TargetRanking ranking(ServiceId service) {
        return ranksByWork(service) ? mByWork : mByCalls;
    }

    /**
     * Returns the features of a call. Its subject is the last of the parts of its prompt that other
     * calls may share, which is the most special one of them.
     */
    static WorkFeatures features(
            String route,
            String organisation,
            List<PromptPartId> promptParts,
            DeclaredSizes declared,
            int bodyBytes) {
        String subject =
                promptParts.isEmpty() ? "" : promptParts.get(promptParts.size() - 1).value();
        return new WorkFeatures(route, organisation, subject, declared, bodyBytes);
    }

    private boolean isEstimated(ServiceId service) {
        return ranksByWork(service) || mMemory.containsKey(service);
    }

    /** Returns the expected cost of a call. */
    WorkEstimate estimate(ServiceId service, WorkFeatures features) {
        return isEstimated(service) ? mModel.estimate(features) : WorkEstimate.UNKNOWN;
    }

    /** Returns whether a call never fits in the memory of any target of its service. */
    boolean exceedsMemory(ServiceId service, WorkEstimate estimate) {
        Integer memory = mMemory.get(service);
        return memory != null && estimate.isBounded() && estimate.memoryTokens() > memory;
    }

    /** Returns the reason for which a call that exceeds the memory of all targets is refused. */
    String exceedsMemoryDetail(ServiceId service, WorkEstimate estimate) {
        return "it may need "
                + estimate.memoryTokens()
                + " tokens, and a target of "
                + service
                + " holds "
                + mMemory.get(service);
    }

    /** Returns whether a call fits in the memory that is left at a target. */
    boolean fits(Target target, WorkEstimate estimate) {
        Integer memory = mMemory.get(target.listed().service());
        if (memory == null) {
            return true;
        }
        int claimed = target.work().tokens();
        return claimed == 0 && estimate.memoryTokens() <= memory
                || claimed + (double) estimate.memoryTokens() <= MAX_CLAIMED_SHARE * memory;
    }

    /**
     * Notes that a call of this host was sent.
     *
     * @param isWhole whether the target is to produce the whole answer
     */
    void began(
            Target target,
            TrafficClass type,
            long call,
            WorkEstimate estimate,
            boolean isWhole,
            long nowNanos) {
        if (isEstimated(target.listed().service())) {
            double wait =
                    type == TrafficClass.ONLINE
                            ? ExpectedWorkRanking.startMillis(target, nowNanos)
                            : 0;
            target.work().began(call, estimate, type, isWhole, wait, nowNanos);
        }
    }

    /** Learns from a call that ends with a complete answer. */
    void completed(Target target, WorkFeatures features, long call, long nowNanos, Effects out) {
        if (!ranksByWork(target.listed().service())) {
            return;
        }
        TargetWork work = target.work();
        TargetWork.Ended ended = work.shown(call, nowNanos);
        if (ended == null) {
            return;
        }
        double told = ended.told().orElse(1);
        double speed = work.speed().longRun(nowNanos) * told;
        WorkEstimate estimate = ended.estimate();
        if (estimate.samples() >= 1) {
            double ratio = ended.heldMillis() / estimate.meanMillis();
            work.speed().observed(ratio, ended.told());
        }
        mModel.observed(features, ended.heldMillis(), speed, nowNanos);
        double error = Math.abs(ended.heldMillis() - speed * estimate.meanMillis());
        out.measure(
                Metric.WORK_ERROR_SECONDS,
                "",
                estimate.source().name(),
                error / TimeUnit.SECONDS.toMillis(1));
    }

    /** Notes that a target of a service tells its speed, to this or another host. */
    void tellsSpeed(ServiceId service) {
        if (mTellSpeed.add(service)) {
            mUnlogged.add(service);
        }
    }

    /** Notes the speed that a target told this host; returns whether other hosts should know. */
    boolean told(Target target, OptionalDouble speed, long nowNanos) {
        if (speed.isEmpty()) {
            return false;
        }
        tellsSpeed(target.listed().service());
        return target.work().told(speed.getAsDouble(), nowNanos);
    }

    /** Logs services whose targets have begun to tell their speed. */
    void logChanges(Effects out) {
        if (mUnlogged.isEmpty()) {
            return;
        }
        for (ServiceId service : mUnlogged) {
            out.log(
                    EventCode.SPEED_TOLD,
                    LogField.of("service", service),
                    LogField.of("rankedByWork", ranksByWork(service)));
        }
        mUnlogged.clear();
    }
}
