package telemetry

import (
	"github.com/uber-go/tally/v4"

	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/httpnet"
)

// ClientMetrics holds the metrics of what a process holds for its clients.
type ClientMetrics struct {
	// Bytes and Connections are what is held now.
	Bytes, Connections tally.Gauge
	// Dropped counts the clients that were dropped, Refused those for which there was no
	// room.
	Dropped, Refused tally.Counter

	reported httpnet.BudgetStats
}

// NewClientMetrics creates the metrics in scope s.
func NewClientMetrics(s tally.Scope) *ClientMetrics {
	return &ClientMetrics{
		Bytes:       s.Gauge("client_bytes"),
		Connections: s.Gauge("client_connections"),
		Dropped:     s.Counter("clients_dropped"),
		Refused:     s.Counter("clients_refused"),
	}
}

// Report updates the metrics, and logs the clients that have been dropped or refused since
// the last call. It is not safe for concurrent use.
func (m *ClientMetrics) Report(b *httpnet.Budget, log event.Logger) {
	s := b.Stats()
	dropped, refused := s.Dropped-m.reported.Dropped, s.Refused-m.reported.Refused
	m.reported = s
	m.Bytes.Update(float64(s.Bytes))
	m.Connections.Update(float64(s.Connections))
	m.Dropped.Inc(dropped)
	m.Refused.Inc(refused)
	if dropped == 0 && refused == 0 {
		return
	}
	log.Log(event.ClientsDropped).Uint64("dropped", uint64(dropped)).Uint64("refused", uint64(refused)).
		Uint64("bytes", uint64(s.Bytes)).Uint64("max_bytes", uint64(s.Limits.Bytes)).
		Uint64("connections", uint64(s.Connections)).Uint64("max_connections", uint64(s.Limits.Connections)).Send()
}
