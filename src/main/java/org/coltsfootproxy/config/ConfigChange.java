package org.coltsfootproxy.config;

/** A step of the configuration: the new whole state of one object, or its removal. */
public sealed interface ConfigChange permits ConfigObject, Removed {
    /** Returns the name of the object that the change is about. */
    ObjectName objectName();
}
