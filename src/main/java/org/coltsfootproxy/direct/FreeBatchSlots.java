package org.coltsfootproxy.direct;

import java.util.HashMap;
import java.util.Map;
import org.coltsfootproxy.base.ServiceId;

/** The slots that this host may give to batch items, by service. */
final class FreeBatchSlots {
    private final Targets mTargets;
    private final Map<ServiceId, StartPacer> mPacers = new HashMap<>();

    FreeBatchSlots(Targets targets) {
        mTargets = targets;
    }

    private StartPacer pacer(ServiceId service) {
        return mPacers.computeIfAbsent(service, s -> new StartPacer());
    }

    /** Returns the number of slots that are free for batch items now; 0 while none may start. */
    int count(ServiceId service, long nowNanos) {
        StartPacer pacer = pacer(service);
        int online = mTargets.online(service);
        pacer.observe(online, nowNanos);
        return pacer.mayStart(nowNanos)
                ? Math.max(
                        0,
                        mTargets.freeBatchSlots(
                                service, pacer.reserved(online, nowNanos), nowNanos))
                : 0;
    }

    /** Notes that an item of a service started. */
    void itemStarted(ServiceId service) {
        pacer(service).started();
    }

    /** Notes that an item of a service was preempted by an online request. */
    void itemPreempted(ServiceId service, long nowNanos) {
        pacer(service).preempted(nowNanos);
    }
}
