package controld

import (
	"context"
	"time"

	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/wait"
)

// sampleEvery is the interval at which the state of the replica is noted.
const sampleEvery = time.Second

// sampleReplica keeps the metrics of the replica up to date until ctx ends.
func (d *Daemon) sampleReplica(ctx context.Context) {
	m := telemetry.NewControlMetrics(d.metrics)
	wait.Every(ctx, sampleEvery, func() { d.noteReplica(m) })
}

func (d *Daemon) noteReplica(m *telemetry.ControlMetrics) {
	st := replicaView{d.node}.Status()
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
	m.Commit.Update(float64(st.CommitIndex))
	m.Members.Update(float64(len(st.Members)))
	m.LiveMembers.Update(live)
	d.noteConfig(m)
	m.LinesDropped.Update(float64(event.Dropped(d.opts.Logs)))
}

func (d *Daemon) noteConfig(m *telemetry.ControlMetrics) {
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
