// Package consensus decides for one replica of the control group: elections
// with pre-vote and check-quorum, log replication, confirmed reads, leadership
// transfer and membership changes.
//
// The package is pure. It has no clock, socket, file or goroutine: Step takes
// the time and a batch of events, and returns what has to be done.
//
// # Persistence contract
//
// For each Actions value the owner of a Replica does the following:
//
//  1. It sends Send at once. These messages claim nothing that could be lost:
//     pre-votes, appends of a leader, which counts its own copy of an entry
//     only after the sync, and answers that claim durable entries only.
//  2. It makes Write, if there is one, durable: it writes the record and syncs
//     the file. This may take long; Step goes on meanwhile and returns no other
//     Write until then.
//  3. It sends SendSynced after that. A vote, a vote request or the
//     acknowledgement of new entries leaves only after the term, vote and
//     entries that it speaks of are durable.
//  4. It calls Step with Synced after that.
//  5. It restores Restore and applies Committed to the state machine, which
//     need not wait for the write: a quorum holds what is committed.
//
// When the write or the sync fails, nothing of steps 3 and 4 is done and the
// replica must not be stepped again: what the disk holds is unknown. After a
// restart only what was synced counts.
//
// # Disks
//
// Each data folder carries a random disk id. The membership names a replica
// by its id and its disk. A replica that lost its disk is therefore no member
// of its group: its votes and acknowledgements do not count, and it must come
// back as a learner under a new replica id.
package consensus
