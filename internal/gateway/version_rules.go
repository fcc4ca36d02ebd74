package gateway

import (
	"cmp"
	"slices"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/rollout"
	"balsamcourse.example/balsamcourse/internal/settings"
)

// versionRule says which software versions of a pool get requests, according to the
// configuration.
type versionRule struct {
	// current is the version in rotation.
	current string
	// target is the version to which the roll-out that is under way moves the requests,
	// started its identity, and permille the part of the requests that the version gets
	// in the state shifting. Without a roll-out under way, state is
	// ROLLOUT_STATE_UNSPECIFIED.
	target   string
	started  uint64
	state    catalogpb.RolloutState
	permille uint32
	// withdrawn is set if this gateway has found the target bad.
	withdrawn bool
}

// allPermille is the part of the requests that stands for all of them.
const allPermille = 1000

// underWay reports whether a roll-out is under way.
func (r versionRule) underWay() bool {
	return r.state != catalogpb.RolloutState_ROLLOUT_STATE_UNSPECIFIED
}

// splits reports whether a part of the requests goes to the target.
func (r versionRule) splits() bool {
	return r.underWay() && !r.withdrawn && !r.moved() && r.target != r.current
}

// moved reports whether all requests go to the target.
func (r versionRule) moved() bool {
	return r.state == catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING && r.permille >= allPermille && !r.withdrawn
}

// usual is the version of the requests that are not drawn for the target.
func (r versionRule) usual() string {
	if r.moved() {
		return r.target
	}
	return r.current
}

// unwatched reports whether the target has no verdict yet and control may have rolled the
// roll-out back without this gateway knowing. sinceNewest is the time for which its
// configuration has not been known to be the newest one.
func (r versionRule) unwatched(sinceNewest time.Duration, s settings.Rollout) bool {
	return r.state == catalogpb.RolloutState_ROLLOUT_STATE_ACTIVE && sinceNewest > s.RollbackMs.Duration()
}

// fraction is the part of the requests that is drawn for the target. share is the one
// before the verdict.
func (r versionRule) fraction(share float64) float64 {
	if r.state == catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING {
		return float64(r.permille) / allPermille
	}
	return share
}

// newVersionRule returns the rule of a pool. recorded is the version in rotation, if
// hasRecorded is set, newest the newest roll-out of the pool, which may be nil, and
// upstreams are those of the pool.
func newVersionRule(recorded string, hasRecorded bool, newest *catalogpb.Rollout, upstreams []balance.Upstream) versionRule {
	rule := versionRule{current: recorded}
	switch newest.GetState() {
	case catalogpb.RolloutState_ROLLOUT_STATE_COMPLETED:
		return versionRule{current: newest.Target}
	case catalogpb.RolloutState_ROLLOUT_STATE_ACTIVE, catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING:
		rule.target, rule.started, rule.state, rule.permille = newest.Target, newest.StartedRevision, newest.State, newest.ShiftPermille
	}
	if !hasRecorded {
		rule.current = commonVersion(upstreams, newest)
	}
	if rule.state == catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING && !hasVersion(upstreams, rule.current) {
		// The verdict has been given, and the old upstreams are gone.
		rule.permille = allPermille
	}
	return rule
}

// commonVersion returns the version in rotation of a pool for which none has been
// recorded: the one that most upstreams have announced, of several the one whose first
// upstream started earliest. The target of a roll-out that is not completed is left out.
func commonVersion(upstreams []balance.Upstream, newest *catalogpb.Rollout) string {
	type version struct {
		software     string
		count        int
		firstStarted uint64
	}
	var versions []version
	for _, u := range upstreams {
		if newest != nil && u.Software == newest.Target {
			continue
		}
		i := slices.IndexFunc(versions, func(v version) bool { return v.software == u.Software })
		if i < 0 {
			versions = append(versions, version{u.Software, 1, u.Started})
			continue
		}
		versions[i].count++
		versions[i].firstStarted = min(versions[i].firstStarted, u.Started)
	}
	if len(versions) == 0 {
		return ""
	}
	return slices.MinFunc(versions, func(a, b version) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.firstStarted, b.firstStarted), cmp.Compare(a.software, b.software))
	}).software
}

func hasVersion(upstreams []balance.Upstream, software string) bool {
	return slices.ContainsFunc(upstreams, func(u balance.Upstream) bool { return u.Software == software && !u.Draining })
}

// rotation returns the versions in rotation. Of the target's upstreams, only those in few
// get requests before the verdict.
func (r versionRule) rotation(few []string) balance.Rotation {
	if !r.splits() {
		return balance.Rotation{Versions: []string{r.usual()}}
	}
	rotation := balance.Rotation{Versions: []string{r.current, r.target}}
	if r.state == catalogpb.RolloutState_ROLLOUT_STATE_ACTIVE {
		rotation.Only = map[string][]string{r.target: few}
	}
	return rotation
}

// chooseFew returns the upstreams of the target that get the share of the requests before
// the verdict, and the number of old upstreams.
func (r versionRule) chooseFew(share float64, upstreams []balance.Upstream, closedZones map[string]bool) (few []string, old int) {
	var candidates []rollout.Candidate
	for _, u := range upstreams {
		switch {
		case u.Draining, closedZones[u.Zone]:
		case u.Software == r.target:
			candidates = append(candidates, rollout.Candidate{ID: u.ID, Zone: u.Zone})
		case u.Software == r.current:
			old++
		}
	}
	return rollout.Few(candidates, old, share), old
}
