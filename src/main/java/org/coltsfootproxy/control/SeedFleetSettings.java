package org.coltsfootproxy.control;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.direct.TargetListProtocol;
import org.coltsfootproxy.direct.TargetProtocol;
import org.coltsfootproxy.membership.PeerAddresses;

/**
 * Settings and adapters of a control host in a fleet that discovers its hosts through seeds.
 *
 * @param seeds control hosts that bootstrap the fleet's logs
 * @param mayBootstrap whether this is the first start of the fleet, so that its logs may be
 *     bootstrapped
 * @param voters wanted number of voters of each log; 2t + 1 voters tolerate t simultaneous failures
 * @param listAddress IP address and port of the platform's list of targets
 */
public record SeedFleetSettings(
        List<HostId> seeds,
        boolean mayBootstrap,
        int voters,
        PeerAddresses addresses,
        String listAddress,
        OperatorProtocol operators,
        TargetProtocol targets,
        TargetListProtocol list) {
    /** Validates the components. */
    public SeedFleetSettings {
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
