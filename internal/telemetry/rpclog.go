package telemetry

import (
	"time"

	"balsamcourse.example/balsamcourse/internal/event"
)

const (
	// RPCLogInterval is the interval at which LogTotals is meant to be called.
	RPCLogInterval = 5 * time.Second
	// minLoggedBytes is the size of the bodies of one method below which
	// LogTotals does not log it: about a percent of what a link of 1.5 Mbit/s
	// carries in RPCLogInterval.
	minLoggedBytes = 10_000
)

// LogTotals logs the RPCs served since the last call, one line for each method
// that moved a considerable number of bytes. Each process has few methods, so
// that the volume is bounded.
func (h *RPCs) LogTotals(log event.Logger) {
	for _, t := range h.TakeTotals() {
		if t.ReceivedBytes+t.SentBytes < minLoggedBytes {
			continue
		}
		log.Log(event.RPCLoad).Str("method", t.Method).Uint64("calls", t.Calls).Uint64("failed", t.Failed).
			Uint64("received_bytes", t.ReceivedBytes).Uint64("sent_bytes", t.SentBytes).Send()
	}
}
