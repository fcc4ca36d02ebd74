package balance

import (
	"slices"
	"time"
)

// Rotation says which software versions of a pool get requests.
type Rotation struct {
	// Versions are the software versions in rotation. Upstreams of other versions get
	// neither requests nor probes.
	Versions []string
	// Only limits the upstreams of a version to those with the given IDs.
	Only map[string][]string
}

// admits reports whether the upstream is in rotation.
func (r Rotation) admits(u Upstream) bool {
	only, limited := r.Only[u.Software]
	return slices.Contains(r.Versions, u.Software) && (!limited || slices.Contains(only, u.ID))
}

// Group returns the name of the upstreams of one version in a pool with a Rotation.
// Selection, queues and permits of such a pool are separate for each version, and the
// functions of Balancer that take the name of a pool take that of a group.
func Group(pool, software string) string { return pool + "\x00" + software }

// InRotation reports whether the software version of the upstream is in rotation.
func (c Config) InRotation(u Upstream) bool {
	r, byVersion := c.Rotations[u.Pool]
	return !byVersion || r.admits(u)
}

// enterGroup adds the upstream to the group from which requests get it, if it is in
// rotation.
func (b *Balancer) enterGroup(u *upstream, cfg Config) {
	u.group, u.outOfRotation = u.Pool, !cfg.InRotation(u.Upstream)
	if _, byVersion := cfg.Rotations[u.Pool]; byVersion {
		u.group = Group(u.Pool, u.Software)
	}
	if !u.outOfRotation {
		b.groups[u.group] = append(b.groups[u.group], u)
	}
}

// Withdraw takes the upstreams of a version out of rotation until the next Update.
func (b *Balancer) Withdraw(pool, software string) {
	group := Group(pool, software)
	for _, u := range b.groups[group] {
		u.outOfRotation = true
	}
	delete(b.groups, group)
}

// OutOfRotation reports whether the upstream is known and not in rotation.
func (b *Balancer) OutOfRotation(id string) bool {
	u := b.upstreams[id]
	return u != nil && u.outOfRotation
}

// GroupOf returns the group of the upstream: its pool, if that has no Rotation or the
// upstream is not known.
func (b *Balancer) GroupOf(u Upstream) string {
	if known := b.upstreams[u.ID]; known != nil {
		return known.group
	}
	return u.Pool
}

// InFlightOther returns the number of requests that this entry VM has in flight, or has
// reserved, at upstreams of the pool that do not run the given software, in rotation or
// not.
func (b *Balancer) InFlightOther(pool, software string) int {
	n := 0
	for _, u := range b.members[pool] {
		if u.Software != software {
			n += len(u.inFlight)
		}
	}
	return n
}

// Silent returns those of the given upstreams that have not answered their last probe and
// are in backoff for it.
func (b *Balancer) Silent(now time.Duration, ids []string) []string {
	var silent []string
	for _, id := range ids {
		if u := b.upstreams[id]; u != nil && u.probeTimeouts > 0 && now < u.backoffUntil {
			silent = append(silent, id)
		}
	}
	return silent
}
