package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// Fault is a kind of fault that is injected during a run.
type Fault string

// Kinds of faults.
const (
	NoFault Fault = "none"
	// Stragglers multiplies the service times of upstreams by ten for 2 s.
	Stragglers Fault = "straggler"
	// SilentColdStart returns upstreams to cold start without an announcement.
	SilentColdStart Fault = "cold"
	// FailFast makes upstreams answer 500 immediately for 2 s.
	FailFast Fault = "failfast"
	// ShortStalls suspends all work of upstreams for 150 ms, as a busy
	// neighbour on the same host does.
	ShortStalls Fault = "stall"
	// Draining makes upstreams drain for 2 s and then restart cold.
	Draining Fault = "drain"
	// Leaving makes upstreams say in their answers, and nowhere else, that they are
	// leaving, for 2 s before they restart cold.
	Leaving Fault = "leave"
	// Pausing makes upstreams turn requests away with a pause of 2 s.
	Pausing Fault = "pause"
	// ZoneOutage takes an availability zone out of service and returns it
	// after 3 s with cold upstreams.
	ZoneOutage Fault = "zone"
)

// Intervals, durations and intensities of the faults.
const (
	slowFactor         = 10
	faultInterval      = 2500 * time.Millisecond
	faultDuration      = 2 * time.Second
	stallInterval      = 250 * time.Millisecond
	stallDuration      = 150 * time.Millisecond
	zoneOutageDelay    = 2 * time.Second
	zoneOutageDuration = 3 * time.Second
	// zoneOutageLoad is a load that the remaining zones can serve, as a share
	// of all slots.
	zoneOutageLoad = 0.65
)

// injectFaults injects faults of one kind until ctx is done.
func (s *system) injectFaults(ctx context.Context, f Fault) {
	switch f {
	case NoFault:
	case ZoneOutage:
		s.injectZoneOutage(ctx)
	case ShortStalls:
		s.injectRepeatedly(ctx, stallInterval, func(i int) { s.upstreams[i].Stall(stallDuration) })
	default:
		s.injectRepeatedly(ctx, faultInterval, func(i int) { s.injectUpstreamFault(ctx, f, i) })
	}
}

// injectRepeatedly calls inject with the index of a random upstream, each time
// after a pause of every. The seed is fixed, so that all policies get the same
// sequence of upstreams.
func (s *system) injectRepeatedly(ctx context.Context, every time.Duration, inject func(i int)) {
	rng := rand.New(rand.NewPCG(3, 3))
	for sleep(ctx, every) {
		inject(rng.IntN(len(s.upstreams)))
	}
}

// injectUpstreamFault applies a fault to upstream i and, unless it is a cold
// start, ends it after faultDuration.
func (s *system) injectUpstreamFault(ctx context.Context, f Fault, i int) {
	u := s.upstreams[i]
	switch f {
	case Stragglers:
		u.SetServiceTimeFactor(slowFactor)
		defer u.SetServiceTimeFactor(1)
	case SilentColdStart:
		u.ResetWarmup()
		return
	case FailFast:
		u.SetFailFast(true)
		defer u.SetFailFast(false)
	case Draining:
		u.Drain()
		defer u.Restart()
	case Leaving:
		u.Leave()
		defer u.Restart()
	case Pausing:
		u.Pause(faultDuration)
	}
	sleep(ctx, faultDuration)
}

// injectZoneOutage takes the first availability zone out of service, restarts
// its upstreams cold and returns it to service.
func (s *system) injectZoneOutage(ctx context.Context) {
	zone := s.deployment.Zones[0]
	if !sleep(ctx, zoneOutageDelay) {
		return
	}
	_ = s.setZone(ctx, zone, catalogpb.ZoneState_ZONE_STATE_LEAVING)
	if !sleep(ctx, zoneOutageDuration) {
		return
	}
	for _, u := range s.upstreams {
		if s.upstreamZones[u.ID()] == zone {
			u.Restart()
		}
	}
	_ = s.setZone(ctx, zone, catalogpb.ZoneState_ZONE_STATE_RETURNING)
}

func (s *system) setZone(ctx context.Context, zone string, state catalogpb.ZoneState) error {
	return s.applyChange(ctx, &catalogpb.Change{Kind: &catalogpb.Change_SetZoneState{
		SetZoneState: &catalogpb.SetZoneState{Zone: zone, State: state},
	}})
}

// sleep waits for d and reports true, or reports false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
