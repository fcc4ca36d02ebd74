// Package soak runs the whole system as separate processes with random faults that come
// from outside, and checks its promises from what callers, upstreams and operators see.
package soak
