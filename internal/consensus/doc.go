// Package consensus decides for one replica of the control group: elections
// with pre-vote and check-quorum, log replication, confirmed reads, leadership
// transfer and membership changes.
//
// The package is pure. It has no clock, socket, file or goroutine: Step takes
// the time and a batch of events, and returns what has to be done.
//
// # Persistence contract
//
// For each Actions value the owner of a Replica does the following, in order:
//
//  1. It may send Send at once. These are pre-votes, and a leader's appends:
//     the leader counts its own copy of an entry only after the sync.
//  2. It makes Write durable: it writes the record and syncs the file.
//  3. It sends SendSynced. A vote, a vote request or an acknowledgement of
//     entries leaves only after the term, vote and entries it speaks of are
//     durable.
//  4. It restores Restore and applies Committed to the state machine.
//  5. When there was a Write, it calls Step with Synced before any other event.
//
// When the write or the sync fails, nothing of steps 3 to 5 is done and the
// replica must not be stepped again: what the disk holds is unknown. After a
// restart only what was synced counts.
//
// # Disks
//
// Each data folder carries a random disk id. The membership names a replica
// by its id and its disk. A replica that lost its disk is therefore a stranger
// to its group: its votes and acknowledgements do not count, and it must come
// back as a learner under a new replica id.
package consensus
