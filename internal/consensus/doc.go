// Package consensus implements one replica of the control group's replicated
// log, following Raft: elections with pre-vote and check-quorum, log
// replication, linearizable reads, leadership transfer and membership changes.
//
// The package performs no I/O and has no clock and no goroutines. Step takes
// the current time and a batch of events, and returns the actions that its
// caller has to carry out.
//
// # Persistence contract
//
// For each Actions value the caller of Step does the following:
//
//  1. It sends Send at once. These messages depend on no unsynced state. They
//     are pre-votes, appends, snapshots and transfer requests of a leader, which
//     counts its own copy of an entry only after the sync, and replies that
//     acknowledge only durable entries.
//  2. It makes Write durable, if there is one: it writes the record and syncs
//     the file. This may take long. Step may be called meanwhile and returns no
//     other Write until then.
//  3. After that, it sends SendAfterSync. Votes, vote requests and
//     acknowledgements of new entries are sent only once the term, vote and
//     entries that they refer to are durable.
//  4. After that, it calls Step with WriteSynced.
//  5. It restores RestoreSnapshot and applies Committed to the state machine.
//     This need not wait for the write, because committed entries are durable
//     on a quorum.
//
// If the write or the sync fails, steps 3 and 4 are left out and Step must not
// be called again, because the content of the disk is unknown. After a restart
// only synced data counts.
//
// # Disks
//
// Each data folder has a random disk id, and the membership lists the replica
// id and the disk id of each member. A replica that lost its disk is therefore
// no longer a member of its group: its votes and acknowledgements do not count,
// and it must rejoin as a learner under a new replica id.
package consensus
