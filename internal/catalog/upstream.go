package catalog

import (
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// coldSlackMs is the difference in the time of a cold start that is not worth
// a log entry: entry VMs count the time down by themselves.
const coldSlackMs = 1_000

// NeedsCommit reports whether an announcement would change the configuration. Control
// VMs acknowledge one that would not without asking the leader: what it says
// is committed already.
func NeedsCommit(cfg *catalogpb.Config, u *catalogpb.Upstream) bool {
	old, known := upstreams.get(cfg.Upstreams, u.Id)
	if !known {
		return true
	}
	if superseded(old, u) {
		return false
	}
	if u.StartedMs > old.StartedMs || !sameDescription(old, u) {
		return true
	}
	if old.State == catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING {
		return false
	}
	return u.State != old.State || u.ColdMs > old.ColdMs+coldSlackMs || (u.ColdMs > 0) != (old.ColdMs > 0)
}

// superseded reports whether an announcement is older than what is recorded:
// of an earlier start, of a start that has left, or overtaken on its way.
func superseded(old, u *catalogpb.Upstream) bool {
	if u.StartedMs != old.StartedMs {
		return u.StartedMs < old.StartedMs
	}
	return old.State == catalogpb.UpstreamState_UPSTREAM_STATE_GONE || u.Sequence < old.Sequence
}

func sameDescription(a, b *catalogpb.Upstream) bool {
	return a.Address == b.Address && a.Zone == b.Zone && a.Pool == b.Pool && a.Slots == b.Slots && a.Software == b.Software
}

func checkUpstream(u *catalogpb.Upstream) *fault.Error {
	switch {
	case u.GetId() == "":
		return invalid("the upstream has no id")
	case u.Address == "":
		return invalid("upstream %q has no address", u.Id)
	case u.Pool == "":
		return invalid("upstream %q names no pool", u.Id)
	case u.Zone == "":
		return invalid("upstream %q names no availability zone", u.Id)
	case u.Slots == 0:
		return invalid("upstream %q has no slots", u.Id)
	case u.State != catalogpb.UpstreamState_UPSTREAM_STATE_READY && u.State != catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING:
		return invalid("upstream %q has an unknown state", u.Id)
	}
	return nil
}

// putUpstream records an announcement. One that is overtaken changes nothing.
// Draining ends only with a new start, so that a delayed announcement cannot
// bring an upstream back.
func putUpstream(next *catalogpb.Config, u *catalogpb.Upstream) *fault.Error {
	if err := checkUpstream(u); err != nil {
		return err
	}
	old, known := upstreams.get(next.Upstreams, u.Id)
	if known && superseded(old, u) {
		return nil
	}
	if holder := holderOf(next, u); holder != nil && holder.StartedMs > u.StartedMs {
		// The address belongs to a later start by now.
		return nil
	}
	put := proto.CloneOf(u)
	if known && old.StartedMs == u.StartedMs && old.State == catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING {
		put.State = old.State
	}
	next.Upstreams = upstreams.put(next.Upstreams, put)
	releaseAddress(next, put)
	return nil
}

// holderOf returns another upstream that is recorded under the address of u.
func holderOf(cfg *catalogpb.Config, u *catalogpb.Upstream) *catalogpb.Upstream {
	for _, other := range cfg.Upstreams {
		if other.Id != u.Id && other.Address == u.Address && other.State != catalogpb.UpstreamState_UPSTREAM_STATE_GONE {
			return other
		}
	}
	return nil
}

// releaseAddress marks upstreams that held the address of u before as gone.
func releaseAddress(next *catalogpb.Config, u *catalogpb.Upstream) {
	for {
		holder := holderOf(next, u)
		if holder == nil {
			return
		}
		markGone(next, holder)
	}
}

func markGone(next *catalogpb.Config, u *catalogpb.Upstream) {
	gone := proto.CloneOf(u)
	gone.State = catalogpb.UpstreamState_UPSTREAM_STATE_GONE
	next.Upstreams = upstreams.put(next.Upstreams, gone)
	forgetGone(next)
}

// RetainedGone is the number of upstreams that have left which are remembered.
// Announcements are late by seconds; at one departure a second this covers
// four minutes.
const RetainedGone = 256

// forgetGone drops the upstream that started first of those that have left,
// when there are too many.
func forgetGone(next *catalogpb.Config) {
	count := 0
	var oldest *catalogpb.Upstream
	for _, u := range next.Upstreams {
		if u.State != catalogpb.UpstreamState_UPSTREAM_STATE_GONE {
			continue
		}
		count++
		if oldest == nil || u.StartedMs < oldest.StartedMs {
			oldest = u
		}
	}
	if count > RetainedGone {
		next.Upstreams = upstreams.remove(next.Upstreams, func(u *catalogpb.Upstream) bool { return u == oldest })
	}
}

// dropUpstream records that an upstream has left. An unknown one is recorded
// as well: its first announcement may still be under way.
func dropUpstream(next *catalogpb.Config, drop *catalogpb.DropUpstream) *fault.Error {
	if drop.Id == "" {
		return invalid("the upstream has no id")
	}
	old, known := upstreams.get(next.Upstreams, drop.Id)
	if !known {
		markGone(next, &catalogpb.Upstream{Id: drop.Id, StartedMs: drop.StartedMs})
		return nil
	}
	if drop.StartedMs != 0 && drop.StartedMs < old.StartedMs {
		return nil
	}
	markGone(next, old)
	return nil
}
