package org.coltsfootproxy.consensus;

/** Root of the records that member list entries encode. */
sealed interface MembersRecord permits Members {}
