package org.coltsfootproxy.config;

import org.coltsfootproxy.base.WireCode;

/** The removal of an object. */
@WireCode(5)
public record Removed(ObjectName objectName) implements ConfigChange {}
