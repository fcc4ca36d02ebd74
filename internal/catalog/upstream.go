package catalog

import (
	"cmp"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/features"
)

// coldToleranceMs is the increase in the remaining time of a cold start up to
// which an announcement need not be committed. A decrease is committed only if it
// ends the cold start, because entry VMs count down the recorded time themselves.
const coldToleranceMs = 1_000

// NeedsCommit reports whether the announcement u has to be committed to the
// control log. If not, the control VM that received it can acknowledge it without
// asking the leader, as its content is already committed or outdated.
func NeedsCommit(cfg *catalogpb.Config, u *catalogpb.Upstream) bool {
	old, known := upstreams.get(cfg.Upstreams, u.Id)
	if !known {
		return true
	}
	if superseded(old, u) {
		return false
	}
	if u.StartedMs > old.StartedMs || !sameAttributes(old, u) {
		return true
	}
	if old.State == catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING {
		return false
	}
	return u.State != old.State || u.ColdMs > old.ColdMs+coldToleranceMs || (u.ColdMs > 0) != (old.ColdMs > 0)
}

// superseded reports whether the recorded upstream old makes the announcement u
// outdated: u is of an earlier start, the upstream has gone since the same start,
// or u has a lower sequence number.
func superseded(old, u *catalogpb.Upstream) bool {
	if u.StartedMs != old.StartedMs {
		return u.StartedMs < old.StartedMs
	}
	return old.State == catalogpb.UpstreamState_UPSTREAM_STATE_GONE || u.Sequence < old.Sequence
}

func sameAttributes(a, b *catalogpb.Upstream) bool {
	return a.Address == b.Address && a.Zone == b.Zone && a.Pool == b.Pool && a.Slots == b.Slots && a.Software == b.Software
}

// maxUpstreamTextBytes limits each text of an announcement, since all control VMs and entry VMs
// keep them.
const maxUpstreamTextBytes = 256

// CheckUpstreamTexts refuses an announcement whose texts are too long. The state machine does
// not call it, because those of older builds accept any length.
func CheckUpstreamTexts(u *catalogpb.Upstream) *fault.Error {
	for _, text := range []struct{ name, value string }{
		{"id", u.GetId()}, {"address", u.GetAddress()}, {"availability zone", u.GetZone()},
		{"pool", u.GetPool()}, {"software version", u.GetSoftware()},
	} {
		if len(text.value) > maxUpstreamTextBytes {
			return invalid("%s of the upstream has %d bytes, expected at most %d", text.name, len(text.value), maxUpstreamTextBytes)
		}
	}
	return nil
}

// CheckUpstreamRoom refuses the announcement of an upstream that is not recorded if
// maxUpstreams are that have not gone; 0 means that their number is not bounded.
func CheckUpstreamRoom(cfg *catalogpb.Config, id string, maxUpstreams int) *fault.Error {
	if maxUpstreams == 0 || len(cfg.Upstreams) < maxUpstreams {
		return nil
	}
	if _, known := upstreams.get(cfg.Upstreams, id); known {
		return nil
	}
	present := 0
	for _, u := range cfg.Upstreams {
		if u.State != catalogpb.UpstreamState_UPSTREAM_STATE_GONE {
			present++
		}
	}
	if present < maxUpstreams {
		return nil
	}
	return fault.New(fault.Overloaded, "%d upstreams are recorded, limit is %d", present, maxUpstreams)
}

func checkUpstream(u *catalogpb.Upstream) *fault.Error {
	switch {
	case u.GetId() == "":
		return invalid("upstream has no id")
	case u.Address == "":
		return invalid("upstream %q has no address", u.Id)
	case u.Pool == "":
		return invalid("upstream %q has no pool", u.Id)
	case u.Zone == "":
		return invalid("upstream %q has no availability zone", u.Id)
	case u.Slots == 0:
		return invalid("upstream %q has no slots", u.Id)
	case u.State != catalogpb.UpstreamState_UPSTREAM_STATE_READY && u.State != catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING:
		return invalid("upstream %q: state is %v, expected %v or %v", u.Id, u.State, catalogpb.UpstreamState_UPSTREAM_STATE_READY, catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING)
	}
	return nil
}

// putUpstream records an announcement. A superseded announcement changes nothing.
// Draining ends only with a new start, so that a delayed announcement cannot make
// an upstream ready again.
func putUpstream(next *catalogpb.Config, in commandContext, u *catalogpb.Upstream) *fault.Error {
	if err := checkUpstream(u); err != nil {
		return err
	}
	old, known := upstreams.get(next.Upstreams, u.Id)
	if known && superseded(old, u) {
		return nil
	}
	if owner := addressOwner(next, u); owner != nil && owner.StartedMs > u.StartedMs {
		// An upstream that started later now uses the address.
		return nil
	}
	put := proto.CloneOf(u)
	// Only markGone sets it.
	put.GoneIndex = 0
	if known && old.StartedMs == u.StartedMs && old.State == catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING {
		put.State = old.State
	}
	next.Upstreams = upstreams.put(next.Upstreams, put)
	markPreviousOwnersGone(next, in, put)
	return nil
}

// addressOwner returns another upstream that is recorded with the address of u
// and is not gone, or nil if there is none.
func addressOwner(cfg *catalogpb.Config, u *catalogpb.Upstream) *catalogpb.Upstream {
	for _, other := range cfg.Upstreams {
		if other.Id != u.Id && other.Address == u.Address && other.State != catalogpb.UpstreamState_UPSTREAM_STATE_GONE {
			return other
		}
	}
	return nil
}

// markPreviousOwnersGone marks all other upstreams with the address of u as gone.
func markPreviousOwnersGone(next *catalogpb.Config, in commandContext, u *catalogpb.Upstream) {
	for {
		owner := addressOwner(next, u)
		if owner == nil {
			return
		}
		markGone(next, in, owner)
	}
}

func markGone(next *catalogpb.Config, in commandContext, u *catalogpb.Upstream) {
	gone := proto.CloneOf(u)
	gone.State = catalogpb.UpstreamState_UPSTREAM_STATE_GONE
	if in.features.Has(features.DepartedStarts) {
		gone.GoneIndex = in.index
	}
	next.Upstreams = upstreams.put(next.Upstreams, gone)
	evictFirstGone(next)
}

// RetainedGoneUpstreams is the maximum number of gone upstreams that stay
// recorded, so that late announcements of theirs are recognised. Announcements
// arrive seconds late; at one departure per second this covers four minutes.
const RetainedGoneUpstreams = 256

// evictFirstGone removes the upstream that left first if more than
// RetainedGoneUpstreams have gone. Those whose departure has no index come before all
// others, in the order of their starts.
func evictFirstGone(next *catalogpb.Config) {
	count := 0
	var first *catalogpb.Upstream
	for _, u := range next.Upstreams {
		if u.State != catalogpb.UpstreamState_UPSTREAM_STATE_GONE {
			continue
		}
		count++
		if first == nil || cmp.Or(cmp.Compare(u.GoneIndex, first.GoneIndex), cmp.Compare(u.StartedMs, first.StartedMs)) < 0 {
			first = u
		}
	}
	if count > RetainedGoneUpstreams {
		next.Upstreams = upstreams.remove(next.Upstreams, func(u *catalogpb.Upstream) bool { return u == first })
	}
}

// dropUpstream marks an upstream as gone. One whose start is not recorded yet is
// recorded as gone as well, because its first announcement may still arrive. With a base
// revision, the start time is the one known where the order arrived: a later start is not
// dropped.
func dropUpstream(next *catalogpb.Config, in commandContext, drop *catalogpb.DropUpstream) *fault.Error {
	if drop.Id == "" {
		return invalid("upstream has no id")
	}
	old, known := upstreams.get(next.Upstreams, drop.Id)
	if !known {
		markGone(next, in, &catalogpb.Upstream{Id: drop.Id, StartedMs: drop.StartedMs})
		return nil
	}
	hasGone := old.State == catalogpb.UpstreamState_UPSTREAM_STATE_GONE
	if drop.BaseRevision != 0 && drop.StartedMs < old.StartedMs && !hasGone {
		return outdatedOrder("upstream %q was started again after revision %d", drop.Id, drop.BaseRevision)
	}
	if drop.StartedMs != 0 && drop.StartedMs < old.StartedMs {
		return nil
	}
	if !in.features.Has(features.DepartedStarts) {
		markGone(next, in, old)
		return nil
	}
	switch {
	case drop.StartedMs > old.StartedMs:
		// The address and pool of a start that was never announced are unknown.
		markGone(next, in, &catalogpb.Upstream{Id: drop.Id, StartedMs: drop.StartedMs})
	case !hasGone:
		markGone(next, in, old)
	}
	return nil
}
