package catalog

import (
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/charts"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/statechart"
)

// rolloutChart is the state chart of a roll-out.
var rolloutChart = charts.MustLoad("rollout")

// rolloutStates maps the states of the protobuf schema to those of rolloutChart.
var rolloutStates = map[catalogpb.RolloutState]statechart.State{
	catalogpb.RolloutState_ROLLOUT_STATE_ACTIVE:      "active",
	catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING:    "shifting",
	catalogpb.RolloutState_ROLLOUT_STATE_COMPLETED:   "completed",
	catalogpb.RolloutState_ROLLOUT_STATE_ROLLED_BACK: "rolled_back",
}

// rolloutEvents maps a requested state to the event that leads to it.
var rolloutEvents = map[catalogpb.RolloutState]statechart.Event{
	catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING:    "judged_good",
	catalogpb.RolloutState_ROLLOUT_STATE_COMPLETED:   "moved",
	catalogpb.RolloutState_ROLLOUT_STATE_ROLLED_BACK: "judged_bad",
}

// RolloutUnderWay reports whether r has no verdict that is final.
func RolloutUnderWay(r *catalogpb.Rollout) bool {
	switch r.GetState() {
	case catalogpb.RolloutState_ROLLOUT_STATE_ACTIVE, catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING:
		return true
	}
	return false
}

// RolloutStateName returns the name of a state in the chart.
func RolloutStateName(state catalogpb.RolloutState) string { return string(rolloutStates[state]) }

// FindRollout returns the newest roll-out of a pool, or nil.
func FindRollout(cfg *catalogpb.Config, pool string) *catalogpb.Rollout {
	r, _ := rollouts.get(cfg.Rollouts, pool)
	return r
}

// SoftwareInRotation returns the recorded software version of a pool and whether there
// is one.
func SoftwareInRotation(cfg *catalogpb.Config, pool string) (string, bool) {
	p, ok := poolSoftware.get(cfg.PoolSoftware, pool)
	return p.GetSoftware(), ok
}

// UnrecordedSoftware returns the first software version of each pool of the desired
// state that has ready upstreams and no recorded version. Of the upstreams that are
// known, the one that started first decides.
func UnrecordedSoftware(cfg *catalogpb.Config) []*catalogpb.PoolSoftware {
	if len(cfg.PoolSoftware) >= len(cfg.Pools) && allRecorded(cfg) {
		return nil
	}
	first := make(map[string]*catalogpb.Upstream)
	for _, u := range cfg.Upstreams {
		if earlier := first[u.Pool]; u.State == catalogpb.UpstreamState_UPSTREAM_STATE_READY && (earlier == nil || u.StartedMs < earlier.StartedMs) {
			first[u.Pool] = u
		}
	}
	var list []*catalogpb.PoolSoftware
	for _, p := range cfg.Pools {
		_, recorded := poolSoftware.get(cfg.PoolSoftware, p.Name)
		if u := first[p.Name]; u != nil && !recorded {
			list = append(list, &catalogpb.PoolSoftware{Pool: p.Name, Software: u.Software})
		}
	}
	return list
}

func allRecorded(cfg *catalogpb.Config) bool {
	for _, p := range cfg.Pools {
		if _, ok := poolSoftware.get(cfg.PoolSoftware, p.Name); !ok {
			return false
		}
	}
	return true
}

// CheckStartRollout validates the fields of an order without reference to a
// configuration. It returns an error of kind fault.InvalidChange, or nil.
func CheckStartRollout(order *catalogpb.StartRollout) *fault.Error {
	switch {
	case order.GetPool() == "":
		return invalid("the roll-out names no pool")
	case order.Target == "":
		return invalid("the roll-out of pool %q names no target version", order.Pool)
	case order.DurationMs == 0:
		return invalid("the duration of the roll-out of pool %q is 0, expected at least 1 ms", order.Pool)
	}
	return nil
}

// SameRollout reports whether the order asks for the roll-out r.
func SameRollout(r *catalogpb.Rollout, order *catalogpb.StartRollout) bool {
	return r != nil && r.Target == order.Target && r.DurationMs == order.DurationMs
}

// startRollout begins a roll-out. The same order again changes nothing: while the
// roll-out is under way, and also later if the order was given on the basis of a state
// before its verdict. An order that is based on a state before the last change of the
// pool's roll-out is rejected, as another order may have been given since.
func startRollout(next *catalogpb.Config, index uint64, order *catalogpb.StartRollout) *fault.Error {
	if err := CheckStartRollout(order); err != nil {
		return err
	}
	if _, ok := pools.get(next.Pools, order.Pool); !ok {
		return fault.New(fault.NotFound, "the desired state has no pool %q", order.Pool)
	}
	old := FindRollout(next, order.Pool)
	late := old != nil && order.BaseRevision != 0 && order.BaseRevision < old.ChangedRevision
	switch {
	case SameRollout(old, order) && (RolloutUnderWay(old) || late):
		return nil
	case RolloutUnderWay(old):
		return fault.New(fault.RolloutUnderWay, "pool %q is being rolled out to %q within %d ms; an order for %q within %d ms has to wait until that has ended",
			order.Pool, old.Target, old.DurationMs, order.Target, order.DurationMs)
	case late:
		return outdatedOrder("the order is based on revision %d, but the roll-out of pool %q was changed at revision %d", order.BaseRevision, order.Pool, old.ChangedRevision)
	}
	recorded, ok := SoftwareInRotation(next, order.Pool)
	if !ok {
		return fault.New(fault.NotFresh, "the software version in rotation of pool %q is not recorded yet", order.Pool)
	}
	r := &catalogpb.Rollout{
		Pool: order.Pool, Target: order.Target, DurationMs: order.DurationMs, State: catalogpb.RolloutState_ROLLOUT_STATE_ACTIVE,
		StartedRevision: index, ChangedRevision: index,
	}
	if recorded == order.Target {
		r.State, r.Reason = catalogpb.RolloutState_ROLLOUT_STATE_COMPLETED, "the version is in rotation already"
	}
	next.Rollouts = rollouts.put(next.Rollouts, r)
	return nil
}

// advanceRollout changes the state of a roll-out as the chart allows. A completed
// roll-out puts its target into rotation in the same step.
func advanceRollout(next *catalogpb.Config, index uint64, cmd *catalogpb.AdvanceRollout) *fault.Error {
	old := FindRollout(next, cmd.Pool)
	if old == nil || old.StartedRevision != cmd.StartedRevision || old.ChangedRevision != cmd.FromRevision {
		return fault.New(fault.StaleRevision, "the roll-out of pool %q has changed since revision %d", cmd.Pool, cmd.FromRevision)
	}
	to, _, ok := rolloutChart.Next(rolloutStates[old.State], rolloutEvents[cmd.State])
	if !ok || to != rolloutStates[cmd.State] {
		return invalid("the roll-out of pool %q cannot go from %s to %s", cmd.Pool, rolloutStates[old.State], rolloutStates[cmd.State])
	}
	if cmd.State == catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING && (cmd.ShiftPermille <= old.ShiftPermille || cmd.ShiftPermille > maxPermille) {
		return invalid("the share of the new version of pool %q cannot go from %d to %d permille", cmd.Pool, old.ShiftPermille, cmd.ShiftPermille)
	}
	r := proto.CloneOf(old)
	r.State, r.Reason, r.ChangedRevision = cmd.State, cmd.Reason, index
	if cmd.State == catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING {
		r.ShiftPermille = cmd.ShiftPermille
	}
	next.Rollouts = rollouts.put(next.Rollouts, r)
	if cmd.State == catalogpb.RolloutState_ROLLOUT_STATE_COMPLETED {
		next.PoolSoftware = poolSoftware.put(next.PoolSoftware, &catalogpb.PoolSoftware{Pool: cmd.Pool, Software: r.Target})
	}
	return nil
}

// setPoolSoftware records the first software version of pools. It skips pools for which
// one is recorded.
func setPoolSoftware(next *catalogpb.Config, cmd *catalogpb.SetPoolSoftware) *fault.Error {
	for _, p := range cmd.Pools {
		if _, recorded := poolSoftware.get(next.PoolSoftware, p.Pool); p.Pool != "" && !recorded {
			next.PoolSoftware = poolSoftware.put(next.PoolSoftware, p)
		}
	}
	return nil
}
