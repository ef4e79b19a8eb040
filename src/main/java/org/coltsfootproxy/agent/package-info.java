/** The agent role: everything that reaches one target passes here. */
package org.coltsfootproxy.agent;
