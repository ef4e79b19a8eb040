package org.coltsfootproxy.config;

/** The whole state of one object of the configuration. */
public sealed interface ConfigObject extends ConfigChange
        permits Organisation, Key, Service, Route {}
