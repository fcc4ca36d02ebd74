// Package experiment compares dispatch policies over the real path: control,
// entry VMs and stand-in upstreams of a deployment's size run in one process
// on loopback, under an open loop of calls and under faults.
package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// Deployment is the size of a system.
type Deployment struct {
	Name    string
	Service string
	Zones   []string
	// Entries is the number of entry VMs and Upstreams that of upstreams, over
	// all availability zones.
	Entries   int
	Upstreams int
	Slots     int
	// Connections is what one upstream keeps open; requests beyond its slots
	// wait there.
	Connections int
}

// Montego and Guild are the deployments of today.
var (
	Montego = Deployment{
		Name: "montego", Service: "booking", Zones: []string{"a", "b", "c", "d"},
		Entries: 20, Upstreams: 20, Slots: 2, Connections: 340,
	}
	Guild = Deployment{
		Name: "guild", Service: "lotboard", Zones: []string{"a", "b", "c"},
		Entries: 20, Upstreams: 20, Slots: 4, Connections: 300,
	}
)

// Settings of the service in every experiment.
const (
	meanService = 100 * time.Millisecond
	coldSlots   = 1
	warmAfter   = 20
	probeCost   = 6 * time.Millisecond
	probeShare  = 10
	connectCost = time.Millisecond
	callTimeout = 10 * time.Second
	// heavySigma is the deviation of the logarithm of heavy-tailed times.
	heavySigma = 1.3
)

// capacity returns the calls a second that all slots can serve.
func (d Deployment) capacity() float64 {
	return float64(d.Upstreams*d.Slots) / meanService.Seconds()
}

// exponential draws an exponential service time.
func exponential(r *rand.Rand) time.Duration {
	return time.Duration(float64(meanService) * r.ExpFloat64())
}

// heavyTailed draws a log-normal service time of the same mean.
func heavyTailed(r *rand.Rand) time.Duration {
	x := heavySigma*r.NormFloat64() - heavySigma*heavySigma/2
	return time.Duration(float64(meanService) * math.Exp(x))
}
