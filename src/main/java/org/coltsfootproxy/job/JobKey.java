package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;

/** Identifies a batch job over the whole fleet: organisations choose their job ids apart. */
public record JobKey(OrganisationId organisation, JobId job) {
    /** Checks the parts. */
    public JobKey {
        checkNotNull(organisation, "organisation is missing");
        checkNotNull(job, "job id is missing");
    }

    /** Returns the key with the given parts. */
    public static JobKey of(OrganisationId organisation, JobId job) {
        return new JobKey(organisation, job);
    }

    /**
     * Returns the group of the replicated log that keeps the job, from 1.
     *
     * @param groups number of groups for jobs, at least 1
     */
    public int group(int groups) {
        checkArgument(groups > 0, "number of groups %s is below 1", groups);
        long hash =
                Hashing.sipHash24()
                        .hashString(organisation + "/" + job, StandardCharsets.UTF_8)
                        .asLong();
        return 1 + (int) Long.remainderUnsigned(hash, groups);
    }
}
