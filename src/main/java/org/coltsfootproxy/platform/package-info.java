/**
 * The users' platform: its headers, calls and documents, decoded once into the types of the system.
 *
 * <p>Nothing here decides anything, and no other package knows the platform's names.
 */
package org.coltsfootproxy.platform;
