package org.coltsfootproxy.direct;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.Region;
import org.coltsfootproxy.config.Regions;
import org.coltsfootproxy.membership.FleetMembership;
import org.coltsfootproxy.message.FleetMessage;

/**
 * Checks whether the items of a job may reach the stores.
 *
 * <p>Any store may keep the items of any job and run them, so all stores must be in regions that
 * the job may reach.
 */
final class RegionCheck {
    private final Regions mRegions;
    private final FleetMembership mMembership;

    RegionCheck(Regions regions, FleetMembership membership) {
        mRegions = regions;
        mMembership = membership;
    }

    /**
     * Checks that the items of a job may reach all stores.
     *
     * @param allowed regions that the items may reach; empty if they are not restricted
     * @throws ProxyException of kind {@link ErrorKind#REGION_UNAVAILABLE} if some store is in
     *     another or an unknown region
     */
    void checkStores(Optional<Set<Region>> allowed) throws ProxyException {
        Optional<Set<DataCentre>> dataCentres = mRegions.dataCentres(allowed);
        if (dataCentres.isEmpty()) {
            return;
        }
        Map<HostId, DataCentre> placements = mMembership.dataCentres();
        FleetMessage.Roster roster = mMembership.roster();
        List<HostId> stores =
                Stream.of(roster.stores(), roster.retiring(), roster.jobMembers())
                        .flatMap(List::stream)
                        .distinct()
                        .toList();
        boolean mayReachAll =
                stores.stream()
                        .map(store -> Optional.ofNullable(placements.get(store)))
                        .allMatch(d -> d.filter(dataCentres.get()::contains).isPresent());
        if (stores.isEmpty() || !mayReachAll) {
            throw ProxyException.of(
                    ErrorKind.REGION_UNAVAILABLE,
                    "a job may not reach all stores; it is bound to regions");
        }
    }
}
