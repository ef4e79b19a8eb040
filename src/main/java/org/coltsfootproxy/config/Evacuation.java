package org.coltsfootproxy.config;

import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.WireCode;

/**
 * The evacuation of a data centre: nothing new is sent to its targets. It is in force as long as
 * this object exists.
 */
@WireCode(6)
public record Evacuation(DataCentre dataCentre) implements ConfigObject {
    /** Returns the name of the evacuation of a data centre. */
    static ObjectName nameOf(DataCentre dataCentre) {
        return ObjectName.of(ObjectKind.EVACUATION, dataCentre.value());
    }

    @Override
    public ObjectName objectName() {
        return nameOf(dataCentre);
    }
}
