/** Choice of an agent for a request, outlier detection and the retry budget. */
package org.coltsfootproxy.routing;
