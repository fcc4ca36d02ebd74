package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// class is what a disruption strikes.
type class int

const (
	onGateway class = iota
	onAllGateways
	onControl
	onAllControl
	onUpstream
	onZone
	onCallers
)

// kind describes one kind of disruption. It lasts from min to max; weight is how often
// it is drawn, relative to others.
type kind struct {
	name     string
	class    class
	min, max time.Duration
	weight   int
	// ownOnly is set if it needs links between the VMs that the soak controls.
	ownOnly bool
}

// Disruptions of processes.
const (
	killGateway  = "kill_gateway"
	stopGateway  = "stop_gateway"
	pauseGateway = "pause_gateway"
	moveGateway  = "move_gateway"
	// killAllGateways kills the processes of all gateways at once.
	killAllGateways = "kill_all_gateways"
	killControl     = "kill_control"
	stopControl     = "stop_control"
	pauseControl    = "pause_control"
	killAllControl  = "kill_all_control"
	wipeControl     = "wipe_control"
	// holdOrder suspends a control VM while orders of the operator wait in its sockets.
	holdOrder = "hold_order"
	upgrade   = "upgrade"
)

// Disruptions of links. Those of a VM strike what others send to it.
const (
	cutGateway      = "cut_gateway"
	silenceGateway  = "silence_gateway"
	cutControl      = "cut_control"
	resetControl    = "reset_control"
	silenceControl  = "silence_control"
	slowControl     = "slow_control"
	cutUpstream     = "cut_upstream"
	resetUpstream   = "reset_upstream"
	silenceUpstream = "silence_upstream"
	delayUpstream   = "delay_upstream"
	slowUpstream    = "slow_upstream"
)

// Disruptions by upstreams.
const (
	crashUpstream   = "crash_upstream"
	leaveUpstream   = "leave_upstream"
	slowWork        = "slow_work"
	hangUpstream    = "hang_upstream"
	greyUpstream    = "grey_upstream"
	lyingHealth     = "lying_health"
	pauseUpstream   = "pause_upstream"
	doubleAnswers   = "double_answers"
	brokenAnswers   = "broken_answers"
	crashingRequest = "crashing_request"
	takeZoneOut     = "zone_out"
	// burst adds callers that do not pause.
	burst = "burst"
)

var kinds = []kind{
	{killGateway, onGateway, 0, 2 * time.Second, 4, false},
	{stopGateway, onGateway, 0, 2 * time.Second, 6, false},
	{pauseGateway, onGateway, 500 * time.Millisecond, 6 * time.Second, 4, false},
	{moveGateway, onGateway, 0, time.Second, 2, true},
	{killAllGateways, onAllGateways, 0, time.Second, 1, false},
	{killControl, onControl, 0, 3 * time.Second, 3, false},
	{stopControl, onControl, 0, 2 * time.Second, 2, false},
	{pauseControl, onControl, 500 * time.Millisecond, 6 * time.Second, 3, false},
	{killAllControl, onAllControl, 0, 2 * time.Second, 1, false},
	{wipeControl, onControl, 0, time.Second, 1, false},
	{holdOrder, onControl, 1500 * time.Millisecond, 8 * time.Second, 2, false},
	{upgrade, onGateway, 0, time.Second, 2, false},
	{cutGateway, onGateway, time.Second, 4 * time.Second, 2, true},
	{silenceGateway, onGateway, 0, 0, 2, true},
	{cutControl, onControl, time.Second, 5 * time.Second, 2, true},
	{resetControl, onControl, 0, 0, 2, true},
	{silenceControl, onControl, 0, 0, 3, true},
	{slowControl, onControl, time.Second, 4 * time.Second, 1, true},
	{cutUpstream, onUpstream, time.Second, 4 * time.Second, 2, false},
	{resetUpstream, onUpstream, 0, 0, 2, false},
	{silenceUpstream, onUpstream, 0, 0, 2, false},
	{delayUpstream, onUpstream, time.Second, 4 * time.Second, 2, false},
	{slowUpstream, onUpstream, time.Second, 4 * time.Second, 1, false},
	{crashUpstream, onUpstream, 0, 3 * time.Second, 3, false},
	{leaveUpstream, onUpstream, 0, 2 * time.Second, 4, false},
	{slowWork, onUpstream, 300 * time.Millisecond, 4 * time.Second, 2, false},
	{hangUpstream, onUpstream, 500 * time.Millisecond, 3 * time.Second, 2, false},
	{greyUpstream, onUpstream, time.Second, 4 * time.Second, 2, false},
	{lyingHealth, onUpstream, time.Second, 4 * time.Second, 1, false},
	{pauseUpstream, onUpstream, time.Second, 4 * time.Second, 2, false},
	{doubleAnswers, onUpstream, time.Second, 6 * time.Second, 4, false},
	{brokenAnswers, onUpstream, time.Second, 6 * time.Second, 3, false},
	{crashingRequest, onUpstream, 0, 0, 1, false},
	{takeZoneOut, onZone, 6 * time.Second, 9 * time.Second, 1, false},
	{burst, onCallers, time.Second, 4 * time.Second, 3, false},
}

// stalled is no disruption of the schedule: the machine of the soak did not run its
// processes for a while, so that no bound of time holds.
var stalled = kind{name: "machine_stalled", class: onAllControl}

// Kinds returns the names of all kinds of disruptions.
func Kinds() []string {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = k.name
	}
	return names
}

// Disruption is one disruption of the schedule.
type Disruption struct {
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
	Kind string        `json:"kind"`
	// Target is the index of the VM, the upstream or the zone.
	Target int `json:"target"`
}

// plan is what the schedule is drawn from.
type plan struct {
	seed     uint64
	duration time.Duration
	allowed  []string
	// ownLinks is set if the soak controls the links between VMs, previous if there is
	// an earlier build to change to.
	ownLinks, previous            bool
	gateways, controls, upstreams int
	zones                         int
	// gap is the mean time between disruptions in a storm.
	gap time.Duration
}

const (
	// A storm of disruptions, which come in series and overlap, is followed by a calm
	// in which promises that hold for undisturbed VMs can be checked.
	stormTime = 6 * time.Second
	calmTime  = 7 * time.Second
	// wipePause is the time between two lost disks: the group bears the loss of one,
	// and replaces it meanwhile.
	wipePause = 20 * time.Second
)

// draw returns the disruptions in the order of their times. The same plan always gives
// the same schedule.
func (p plan) draw() []Disruption {
	rng := rand.New(rand.NewPCG(p.seed, 25))
	var usable []kind
	total := 0
	for _, k := range kinds {
		if len(p.allowed) > 0 && !slices.Contains(p.allowed, k.name) || k.ownOnly && !p.ownLinks || k.name == upgrade && !p.previous {
			continue
		}
		usable = append(usable, k)
		total += k.weight
	}
	if total == 0 {
		return nil
	}
	var out []Disruption
	lastWipe := -wipePause
	for at := p.gap; at < p.duration; at += time.Duration(rng.ExpFloat64() * float64(p.gap)) {
		if into := at % (stormTime + calmTime); into >= stormTime {
			at += stormTime + calmTime - into
			continue
		}
		k := pick(rng, usable, total)
		d := Disruption{At: at, Kind: k.name, For: k.min + time.Duration(rng.Float64()*float64(k.max-k.min))}
		switch k.class {
		case onGateway:
			d.Target = rng.IntN(p.gateways)
		case onControl:
			d.Target = rng.IntN(p.controls)
		case onUpstream:
			d.Target = rng.IntN(p.upstreams)
		case onZone:
			d.Target = rng.IntN(p.zones)
		}
		if k.name == wipeControl {
			if at < lastWipe+wipePause {
				continue
			}
			lastWipe = at
		}
		out = append(out, d)
	}
	return out
}

// pick draws a kind by its weight.
func pick(rng *rand.Rand, usable []kind, total int) kind {
	n := rng.IntN(total)
	for _, k := range usable {
		if n -= k.weight; n < 0 {
			return k
		}
	}
	return usable[0]
}

func kindOf(name string) kind {
	if name == stalled.name {
		return stalled
	}
	i := slices.IndexFunc(kinds, func(k kind) bool { return k.name == name })
	return kinds[i]
}
