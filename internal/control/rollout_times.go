package control

import (
	"sync"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// rolloutTimes records when this control VM applied the start and the last change of the
// newest roll-out of each pool. It is safe for concurrent use.
type rolloutTimes struct {
	mu     sync.Mutex
	latest []*catalogpb.Rollout
	pools  map[string]rolloutTime
}

// rolloutTime holds the times of one roll-out by the clock of the server. Those of a
// roll-out that was known when the process started are the start of the process, which is
// later than the true ones.
type rolloutTime struct {
	startedRevision, changedRevision uint64
	startedAt, changedAt             time.Duration
}

// record notes the changes of the roll-outs in a configuration.
func (t *rolloutTimes) record(now time.Duration, rollouts []*catalogpb.Rollout) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sameSlice(t.latest, rollouts) {
		return
	}
	t.latest = rollouts
	known := make(map[string]rolloutTime, len(rollouts))
	for _, r := range rollouts {
		times := t.pools[r.Pool]
		if times.startedRevision != r.StartedRevision {
			times = rolloutTime{startedRevision: r.StartedRevision, startedAt: now}
		}
		if times.changedRevision != r.ChangedRevision {
			times.changedRevision, times.changedAt = r.ChangedRevision, now
		}
		known[r.Pool] = times
	}
	t.pools = known
}

// of returns the times of r and whether they are known.
func (t *rolloutTimes) of(r *catalogpb.Rollout) (rolloutTime, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	times, ok := t.pools[r.GetPool()]
	return times, ok && times.changedRevision == r.ChangedRevision
}
