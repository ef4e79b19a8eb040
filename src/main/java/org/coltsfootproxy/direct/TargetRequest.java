package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.TargetId;

/**
 * What a target is told about a call besides the caller's own headers.
 *
 * @param target the life of the target that is meant; any other refuses the call
 * @param organisation for whom the call runs; empty for callers without a key
 * @param millisLeft time after which nobody waits for the answer, above 0
 * @param resumeAfter id of the last event that has arrived; empty to begin
 */
public record TargetRequest(
        TargetId target,
        Optional<OrganisationId> organisation,
        long millisLeft,
        Optional<String> resumeAfter) {
    /** Checks the parts. */
    public TargetRequest {
        checkNotNull(target, "target is missing");
        checkNotNull(organisation, "organisation is missing");
        checkArgument(millisLeft > 0, "millisLeft %s is not above 0", millisLeft);
        checkNotNull(resumeAfter, "resumeAfter is missing");
    }
}
