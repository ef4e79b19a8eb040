package org.coltsfootproxy.control;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ListedTarget;

/**
 * The data centres that a control host has heard of since it started, from listed targets and
 * enrolled hosts.
 *
 * <p>Names are kept after the last target or host has left, so that a control host which is cut off
 * from the others doesn't take a data centre for an unknown one.
 */
final class KnownDataCentres {
    private final Set<DataCentre> mNames = new TreeSet<>();
    private long mListing;

    KnownDataCentres(DataCentre own) {
        mNames.add(own);
    }

    void enrolled(FleetMessage.Enrol enrol) {
        mNames.add(enrol.dataCentre());
    }

    /** Adds the data centres of a target list, unless it is the one added last. */
    void listed(FleetMessage.Listing listing) {
        if (listing.number() != mListing) {
            mListing = listing.number();
            listing.targets().stream().map(ListedTarget::dataCentre).forEach(mNames::add);
        }
    }

    /** Returns the data centre of a name, which may be any text. */
    Optional<DataCentre> byName(String name) {
        return mNames.stream().filter(dataCentre -> dataCentre.value().equals(name)).findFirst();
    }
}
