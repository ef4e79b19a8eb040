package org.coltsfootproxy.consensus;

/** Root type for the encoding of member lists in log entries and snapshots. */
sealed interface MembersRecord permits Members {}
