/** The ledger of batch jobs and the leasing of their items. */
package org.coltsfootproxy.job;
