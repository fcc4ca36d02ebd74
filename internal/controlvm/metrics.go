package controlvm

import (
	"context"
	"time"

	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/replica"
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
	st := d.node.Status()
	updateMemberMetrics(m, st)
	unknown, unknownSeconds := 0.0, 0.0
	if !st.LeaderlessSince.IsZero() {
		unknown, unknownSeconds = 1, time.Since(st.LeaderlessSince).Seconds()
	}
	m.LeaderUnknown.Update(unknown)
	m.LeaderUnknownSeconds.Update(unknownSeconds)
	m.Term.Update(float64(st.Term))
	m.CommitIndex.Update(float64(st.CommitIndex))
	d.updateConfigMetrics(m)
	m.LogLinesDropped.Update(float64(event.DroppedLines(d.opts.Logs)))
}

func updateMemberMetrics(m *telemetry.ControlMetrics, st replica.Status) {
	leader, live, learners, silentVoters := 0, 0, 0, 0
	if st.IsLeader {
		leader = 1
	}
	for _, member := range st.Members {
		switch {
		case member.Live:
			live++
		case st.IsLeader && !member.GetLearner():
			silentVoters++
		}
		if member.GetLearner() {
			learners++
		}
	}
	m.Leader.Update(float64(leader))
	m.Members.Update(float64(len(st.Members)))
	m.LiveMembers.Update(float64(live))
	m.Voters.Update(float64(len(st.Members) - learners))
	m.Learners.Update(float64(learners))
	m.SilentVoters.Update(float64(silentVoters))
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
