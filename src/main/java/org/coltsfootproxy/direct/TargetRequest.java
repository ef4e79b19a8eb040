package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.TargetId;

/**
 * The data of a call that a target gets besides the caller's own headers.
 *
 * @param target id of one incarnation of the target; any other target refuses the call
 * @param organisation the organisation that the call runs for; empty for callers without a key
 * @param remainingMillis time in milliseconds after which the answer is of no use, above 0
 * @param resumeAfter id of the last event that was received; empty for a new answer
 */
public record TargetRequest(
        TargetId target,
        Optional<OrganisationId> organisation,
        long remainingMillis,
        Optional<String> resumeAfter) {
    /** Validates the components. */
    public TargetRequest {
        checkNotNull(target, "target is missing");
        checkNotNull(organisation, "organisation is missing");
        checkArgument(remainingMillis > 0, "millisLeft %s is not above 0", remainingMillis);
        checkNotNull(resumeAfter, "resumeAfter is missing");
    }
}
