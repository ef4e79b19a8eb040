package org.coltsfootproxy.message;

import java.util.List;
import org.coltsfootproxy.base.Region;
import org.coltsfootproxy.base.ServiceId;

/**
 * An item that is leased to an agent, with all that the agent needs to run it.
 *
 * @param organisation id of the organisation that owns the job
 * @param repeatable whether a second run does no harm; if not, the agent must send {@link
 *     JobMessage.Start} and wait for permission before it calls the target
 * @param method HTTP method of the call
 * @param path path of the call
 * @param timeoutMillis time limit for the call in milliseconds
 * @param remainingMillis milliseconds from the grant of the lease to the job's deadline; negative
 *     if the deadline has passed
 * @param partialOutput output of earlier runs, {@link PartialOutput#NONE} if there is none
 * @param body request body of the call
 * @param allowedRegions regions that the item might reach at submission; null if it was not
 *     restricted. Agents of an earlier version restrict the item to them
 */
public record LeasedItem(
        LeaseRef lease,
        String organisation,
        ServiceId service,
        boolean repeatable,
        String method,
        String path,
        long timeoutMillis,
        long remainingMillis,
        PartialOutput partialOutput,
        byte[] body,
        List<Region> allowedRegions) {
    /** Copies the list. */
    public LeasedItem {
        // A host of an earlier version sends none.
        allowedRegions = allowedRegions == null ? null : List.copyOf(allowedRegions);
    }
}
