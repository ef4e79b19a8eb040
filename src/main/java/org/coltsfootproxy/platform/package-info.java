/**
 * Adapters to the users' platform: its HTTP headers, paths and JSON documents.
 *
 * <p>{@link PlatformCallerProtocol} decodes callers' requests, {@link PlatformOperatorProtocol}
 * those of operators and {@link PlatformConfig} the configuration document. {@link
 * PlatformTargetListProtocol} reads the list of targets, and {@link PlatformTargetProtocol}
 * translates calls to targets and their responses. {@link DemoPlatform} simulates the platform for
 * demonstrations.
 *
 * <p>The adapters only translate and make no decisions. No other package uses the platform's names.
 */
package org.coltsfootproxy.platform;
