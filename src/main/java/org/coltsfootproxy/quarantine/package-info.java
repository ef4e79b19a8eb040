/**
 * Quarantine of parts of prompts that crash targets.
 *
 * <p>The hosts that call targets report to each other which calls were in progress when targets
 * crashed ({@link org.coltsfootproxy.quarantine.CrashEvidence}), and which parts were answered. A
 * part that the crashes have in common, and with which no call was answered, is quarantined at all
 * hosts ({@link org.coltsfootproxy.quarantine.CrashQuarantine}).
 */
package org.coltsfootproxy.quarantine;
