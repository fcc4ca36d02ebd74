package controld

import (
	"context"
	"time"

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
	m.Commit.Update(float64(st.Commit))
	m.Members.Update(float64(len(st.Members)))
	m.LiveMembers.Update(live)
}
