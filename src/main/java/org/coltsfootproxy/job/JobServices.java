package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.JobRouting;
import org.coltsfootproxy.message.JobSpec;

/** The services whose agents run the jobs of a group. */
public final class JobServices {
    private static final int MAX_CACHED_JOBS = 10_000;
    private static final ConfigView NO_ROUTES = ConfigView.empty();

    private final Supplier<ConfigView> mConfig;
    private final Map<Long, ServiceId> mByJob = new HashMap<>();
    private ConfigView mView;

    private JobServices(Supplier<ConfigView> config) {
        mConfig = config;
    }

    /**
     * Returns the services by the configuration in force. A job whose route was removed belongs to
     * its service at submission.
     *
     * @param config returns the configuration in force
     */
    public static JobServices routedBy(Supplier<ConfigView> config) {
        return new JobServices(checkNotNull(config, "config is missing"));
    }

    /**
     * Returns the services at submission, for a fleet whose agents pull items of all services and
     * route them themselves.
     */
    public static JobServices atSubmission() {
        return new JobServices(() -> NO_ROUTES);
    }

    /** Returns the service whose agents run the items of a job now. */
    ServiceId of(LedgerJob job) {
        ConfigView view = mConfig.get();
        if (view != mView || mByJob.size() >= MAX_CACHED_JOBS) {
            mView = view;
            mByJob.clear();
        }
        return mByJob.computeIfAbsent(job.number(), number -> find(view, job.spec(), number));
    }

    private static ServiceId find(ConfigView view, JobSpec spec, long number) {
        return view.route(spec.path())
                .map(route -> JobRouting.now(route, spec.service(), number))
                .orElse(spec.service());
    }
}
