package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.function.LongPredicate;
import java.util.function.Supplier;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.JobRouting;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.config.Regions;
import org.coltsfootproxy.config.Route;

/** Applies the configuration in force to batch items before each call to a target. */
final class ItemRouting {
    private final TargetProtocol mProtocol;
    private final Supplier<ConfigView> mConfig;
    private final LongPredicate mIsConfirmedSince;
    private final Regions mRegions;

    /** What may happen to an item now. */
    enum Step {
        /** It may be sent to a target of its service. */
        SEND,
        /** It has to wait until more of the configuration is known. */
        WAIT,
        /** Its route was removed, so it can't run any more. */
        END
    }

    /**
     * Creates an instance.
     *
     * @param config returns the configuration in force
     * @param isConfirmedSince returns whether this configuration contains all that was in force at
     *     a given time
     */
    ItemRouting(
            TargetProtocol protocol,
            Supplier<ConfigView> config,
            LongPredicate isConfirmedSince,
            Regions regions) {
        mProtocol = checkNotNull(protocol, "protocol");
        mConfig = checkNotNull(config, "config");
        mIsConfirmedSince = checkNotNull(isConfirmedSince, "isConfirmedSince");
        mRegions = checkNotNull(regions, "regions");
    }

    /** Assigns an item to its current service and restricts it to its allowed data centres. */
    Step apply(ItemRun run) {
        ConfigView config = mConfig.get();
        if (config.version() == 0) {
            return Step.WAIT;
        }
        String hostName = mProtocol.hostName(run.call().headers());
        Optional<Route> route = JobRouting.route(config, hostName, run.item().path());
        if (route.isEmpty()) {
            // The entry that accepted the job may know a newer configuration than this host.
            return mIsConfirmedSince.test(run.startedAt()) ? Step.END : Step.WAIT;
        }
        run.moveTo(JobRouting.now(route.get(), run.item().service(), run.lease().job()));
        Optional<Organisation> organisation =
                config.organisation(OrganisationId.of(run.item().organisation()));
        run.allowOnly(mRegions.dataCentres(Regions.allowed(route.get(), organisation)));
        return Step.SEND;
    }
}
