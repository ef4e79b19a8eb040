package org.coltsfootproxy.control;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.direct.TargetListProtocol;
import org.coltsfootproxy.direct.TargetProtocol;
import org.coltsfootproxy.membership.PeerAddresses;

/**
 * What a control host needs in a fleet whose hosts find each other by seeds.
 *
 * @param seeds control hosts that found the fleet's logs
 * @param mayFound whether the fleet runs for the first time
 * @param voters wanted voters of each log: with t losses at once, 2t + 1
 * @param listAddress IP number and port of the platform's list of targets
 */
public record FleetParts(
        List<HostId> seeds,
        boolean mayFound,
        int voters,
        PeerAddresses addresses,
        String listAddress,
        OperatorProtocol operators,
        TargetProtocol targets,
        TargetListProtocol list) {
    /** Checks the parts. */
    public FleetParts {
        seeds = List.copyOf(seeds);
        checkArgument(!seeds.isEmpty(), "no seeds are given");
        checkArgument(voters > 0 && voters % 2 == 1, "voters %s is not odd", voters);
        checkNotNull(addresses, "addresses");
        checkNotNull(listAddress, "listAddress");
        checkNotNull(operators, "operators");
        checkNotNull(targets, "targets");
        checkNotNull(list, "list");
    }
}
