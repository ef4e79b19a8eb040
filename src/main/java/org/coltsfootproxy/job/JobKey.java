package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;

/** Identifies a batch job in the whole fleet. Job ids are unique only within an organisation. */
public record JobKey(OrganisationId organisation, JobId job) {

    public JobKey {
        checkNotNull(organisation, "organisation is missing");
        checkNotNull(job, "job id is missing");
    }

    /** Returns the key of a job. */
    public static JobKey of(OrganisationId organisation, JobId job) {
        return new JobKey(organisation, job);
    }

    /**
     * Returns the group whose replicated log stores the job, from 1 to {@code groups}.
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
