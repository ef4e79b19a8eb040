package org.coltsfootproxy.config;

/** The complete state of one object of the configuration. */
public sealed interface ConfigObject extends ConfigChange
        permits Organisation, Key, Service, Route, Evacuation {}
