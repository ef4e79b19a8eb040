/**
 * Raft consensus: keeps a log of commands identical on the members of a group, and applies it to a
 * state machine on each of them. A member is one incarnation of a host; a host whose disk was lost
 * comes back as another member.
 *
 * <p>{@link RaftNode} is one member of one group. It is deterministic and single-threaded: the
 * caller passes in messages, reports of disk writes and the time, and carries out the effects that
 * it emits. Users propose commands through {@link Proposer} and implement {@link StateMachine};
 * {@link RaftSettings} holds the timing and size limits.
 *
 * <p>Inside, {@link Election} decides votes, {@link Leadership} and {@link Replication} do the
 * leader's work for one term, {@link LogReceiver} does the follower's, {@link WriteTracker} tracks
 * which writes are synced, {@link Applier} applies committed entries and takes snapshots, {@link
 * ReadBarriers} confirms linearizable reads, and {@link GroupBootstrap}, {@link MemberChanges} and
 * {@link JoinRequests} create the group and change its members. {@link Group} holds the state that
 * these classes share. {@link SurvivorRecovery} recovers a group that has lost a quorum of its
 * disks.
 */
package org.coltsfootproxy.consensus;
