// Package replica runs one control replica: it joins the pure decisions of
// package consensus to the disk, the network and the state machine.
//
// One goroutine owns all of them. It collects the events that have arrived,
// steps the decisions once, makes the result durable with one sync, and only
// then lets go of the messages that speak of it. Proposals that arrive during
// a sync share the next one.
package replica
