// Package replica runs one replica of the control group: it connects package
// consensus to the disk, the network and the state machine.
//
// The event loop, a single goroutine, owns the consensus state and the state
// machine. It passes the events that have arrived to the consensus replica in
// batches and carries out the actions that it returns. A second goroutine
// writes and syncs the log; messages that depend on a write are sent only after
// its sync. Entries proposed during a sync share the next one.
package replica
