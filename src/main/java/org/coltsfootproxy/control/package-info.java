/** The control role: replicated configuration, batch jobs and leases behind one decision class. */
package org.coltsfootproxy.control;
