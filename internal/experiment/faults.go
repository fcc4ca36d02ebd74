package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// Fault names what goes wrong during a run.
type Fault string

// The faults.
const (
	NoFault Fault = "none"
	// Stragglers serve ten times slower for some seconds.
	Stragglers Fault = "straggler"
	// SilentCold turns upstreams cold without a sign.
	SilentCold Fault = "cold"
	// FailFast makes upstreams answer 500 at once.
	FailFast Fault = "failfast"
	// Neighbours stalls upstreams for short times.
	Neighbours Fault = "stall"
	// Draining lets upstreams leave and return.
	Draining Fault = "drain"
	// ZoneOut takes an availability zone out and brings it back cold.
	ZoneOut Fault = "zone"
)

// Paces of the faults.
const (
	slowFactor   = 10
	faultEvery   = 2500 * time.Millisecond
	faultFor     = 2 * time.Second
	stallEvery   = 250 * time.Millisecond
	stallFor     = 150 * time.Millisecond
	zoneOutAfter = 2 * time.Second
	zoneOutFor   = 3 * time.Second
	// zoneLoad is a load that the other zones can carry.
	zoneLoad = 0.65
)

// play lets faults happen until ctx ends.
func (s *system) play(ctx context.Context, f Fault) {
	switch f {
	case NoFault:
	case ZoneOut:
		s.playZone(ctx)
	case Neighbours:
		s.repeat(ctx, stallEvery, func(i int) { s.upstreams[i].Stall(stallFor) })
	default:
		s.repeat(ctx, faultEvery, func(i int) { s.strike(ctx, f, i) })
	}
}

// repeat strikes a random upstream at each interval.
func (s *system) repeat(ctx context.Context, every time.Duration, strike func(i int)) {
	rng := rand.New(rand.NewPCG(3, 3))
	for wait(ctx, every) {
		strike(rng.IntN(len(s.upstreams)))
	}
}

func (s *system) strike(ctx context.Context, f Fault, i int) {
	u := s.upstreams[i]
	switch f {
	case Stragglers:
		u.SetServiceTimeFactor(slowFactor)
		defer u.SetServiceTimeFactor(1)
	case SilentCold:
		u.ResetWarmup()
		return
	case FailFast:
		u.SetFailFast(true)
		defer u.SetFailFast(false)
	case Draining:
		u.Drain()
		defer u.Restart()
	}
	wait(ctx, faultFor)
}

// playZone takes the first availability zone out and brings it back with its
// upstreams cold.
func (s *system) playZone(ctx context.Context) {
	zone := s.d.Zones[0]
	if !wait(ctx, zoneOutAfter) {
		return
	}
	_ = s.setZone(ctx, zone, catalogpb.ZoneState_ZONE_STATE_LEAVING)
	if !wait(ctx, zoneOutFor) {
		return
	}
	for _, u := range s.upstreams {
		if s.zoneOf[u.ID()] == zone {
			u.Restart()
		}
	}
	_ = s.setZone(ctx, zone, catalogpb.ZoneState_ZONE_STATE_RETURNING)
}

func (s *system) setZone(ctx context.Context, zone string, state catalogpb.ZoneState) error {
	return s.change(ctx, &catalogpb.Change{Kind: &catalogpb.Change_SetZoneState{
		SetZoneState: &catalogpb.SetZoneState{Zone: zone, State: state},
	}})
}

// wait reports false when ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
