// Package replica runs one control replica: it joins the pure decisions of
// package consensus to the disk, the network and the state machine.
//
// One goroutine owns the decisions and the state machine. It collects the
// events that have arrived and steps the decisions once. A second goroutine
// makes writes durable; messages that speak of a write leave only after it.
// Proposals that arrive during a sync share the next one.
package replica
