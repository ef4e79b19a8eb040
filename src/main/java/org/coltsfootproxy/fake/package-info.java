/** Stand-in targets for demonstrations and measurements. */
package org.coltsfootproxy.fake;
