package org.coltsfootproxy.direct;

import java.util.Set;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.LogField;

/**
 * Decides to which data centres this host may send something new: to those that the configuration
 * doesn't evacuate, and to none while the configuration isn't confirmed as current, since any of
 * them may have been evacuated meanwhile.
 */
final class UsableDataCentres {
    private Set<DataCentre> mEvacuated = Set.of();
    private boolean mIsConfirmed = true;

    /**
     * Applies the configuration of this host.
     *
     * @param isConfirmed whether it is confirmed as current now
     */
    void update(ConfigView view, boolean isConfirmed, Effects out) {
        mIsConfirmed = isConfirmed;
        Set<DataCentre> evacuated = view.evacuated();
        if (!evacuated.equals(mEvacuated)) {
            mEvacuated = evacuated;
            out.log(
                    EventCode.EVACUATIONS_CHANGED,
                    LogField.of("evacuated", evacuated.stream().sorted().toList()),
                    LogField.of("version", view.version()));
            out.measure(Metric.DATA_CENTRES_EVACUATED, "", "", evacuated.size());
        }
    }

    /** Returns whether the configuration is confirmed as current. */
    boolean isConfirmed() {
        return mIsConfirmed;
    }

    boolean isEvacuated(Target target) {
        return mEvacuated.contains(target.listed().dataCentre());
    }

    boolean isUsable(Target target) {
        return mIsConfirmed && (mEvacuated.isEmpty() || !isEvacuated(target));
    }
}
