package org.coltsfootproxy.direct;

import java.util.Optional;
import java.util.OptionalLong;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.entry.Failure;
import org.coltsfootproxy.node.Effects;

/** Chooses targets for online requests, and keeps the account of their work there. */
final class TargetChoice {
    private final Targets mTargets;
    private final WorkRouting mWork;

    TargetChoice(Targets targets) {
        mTargets = targets;
        mWork = targets.work();
    }

    /** Estimates a request that has just arrived; returns why no target can ever run it, if so. */
    Optional<Failure> estimate(DirectRequest request, Effects out) {
        mWork.logChanges(out);
        request.setEstimate(mWork.estimate(request.service(), request.features()));
        if (!mWork.exceedsMemory(request.service(), request.estimate())) {
            return Optional.empty();
        }
        String detail = mWork.exceedsMemoryDetail(request.service(), request.estimate());
        return Optional.of(Failure.notRun(ErrorKind.NO_TARGET, detail, 0));
    }

    /** Returns the target that is expected to serve a request soonest. */
    Optional<Target> choose(DirectRequest request, long now) {
        return mTargets.chooseForOnline(
                request.service(), t -> allows(request, t), request.estimate(), now);
    }

    private boolean allows(DirectRequest request, Target target) {
        return request.allows(target) && mWork.fits(target, request.estimate());
    }

    /** Returns when a limit or the memory of some target allows a request; empty if too late. */
    OptionalLong heldUntil(DirectRequest request, long now) {
        OptionalLong wait =
                mTargets.limitWaitNanos(request.service(), t -> allows(request, t), now);
        if (wait.isEmpty()) {
            OptionalLong limitWait =
                    mTargets.limitWaitNanos(request.service(), request::allows, now);
            wait =
                    limitWait.isPresent()
                            ? OptionalLong.of(
                                    Math.max(WorkRouting.MEMORY_WAIT_NANOS, limitWait.getAsLong()))
                            : limitWait;
        }
        return wait.isPresent() && now + wait.getAsLong() <= request.latestSend()
                ? OptionalLong.of(now + wait.getAsLong())
                : OptionalLong.empty();
    }

    /** Notes that a request is sent to a target. */
    void sent(DirectRequest request, Target target, long call, long now) {
        boolean isWhole = request.resumption().isEmpty() && request.events().lastId().isEmpty();
        mWork.began(target, TrafficClass.ONLINE, call, request.estimate(), isWhole, now);
        mTargets.callStarted(target, TrafficClass.ONLINE, now);
    }

    /** Notes that a request's answer has begun. */
    void answerBegun(DirectRequest request, long now) {
        request.target().ifPresent(t -> t.work().answerBegun(request.targetCall(), now));
    }

    /** Notes that a request's answer is complete; its target is released afterwards. */
    void completed(DirectRequest request, boolean isSuccess, long now, Effects out) {
        if (isSuccess) {
            request.target()
                    .ifPresent(
                            target ->
                                    mWork.completed(
                                            target,
                                            request.features(),
                                            request.targetCall(),
                                            now,
                                            out));
        }
    }

    /** Notes that a request has no call in flight at its target. */
    void released(DirectRequest request) {
        request.target()
                .ifPresent(
                        target -> {
                            target.work().ended(request.targetCall());
                            mTargets.callEnded(target, TrafficClass.ONLINE);
                        });
    }
}
