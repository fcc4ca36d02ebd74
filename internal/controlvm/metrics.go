package controlvm

import (
	"context"
	"time"

	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/wait"
)

// metricsInterval is the interval at which the metrics of the replica are
// updated.
const metricsInterval = time.Second

// updateMetrics keeps the metrics of the replica and the configuration up to
// date until ctx ends.
func (d *Daemon) updateMetrics(ctx context.Context) {
	m := telemetry.NewControlMetrics(d.metrics)
	clients := telemetry.NewClientMetrics(d.metrics.Scope)
	wait.Every(ctx, metricsInterval, func() {
		d.updateReplicaMetrics(m)
		clients.Report(d.budget, d.log)
	})
}

func (d *Daemon) updateReplicaMetrics(m *telemetry.ControlMetrics) {
	st := replicaAdapter{d.node, d.peers}.Status()
	leader, live := 0.0, 0.0
	if st.IsLeader {
		leader = 1
	}
	for _, member := range st.Members {
		if member.Live {
			live++
		}
	}
	m.Leader.Update(leader)
	m.Term.Update(float64(st.Term))
	m.CommitIndex.Update(float64(st.CommitIndex))
	m.Members.Update(float64(len(st.Members)))
	m.LiveMembers.Update(live)
	d.updateConfigMetrics(m)
	m.LogLinesDropped.Update(float64(event.DroppedLines(d.opts.Logs)))
}

func (d *Daemon) updateConfigMetrics(m *telemetry.ControlMetrics) {
	cfg := d.control.Config()
	m.Revision.Update(float64(cfg.Revision))
	m.StateVersion.Update(float64(cfg.StateVersion))
	m.Entries.Update(float64(len(cfg.Entries)))
	states := make(map[string]int)
	for _, u := range cfg.Upstreams {
		states[u.State.String()]++
	}
	for state, g := range m.Upstreams {
		g.Update(float64(states[state]))
	}
}
