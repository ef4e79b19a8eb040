package org.coltsfootproxy.config;

/** A change of the configuration: the complete new state of one object, or its removal. */
public sealed interface ConfigChange permits ConfigObject, Removed {
    /** Returns the name of the object that the change applies to. */
    ObjectName objectName();
}
