// Package experiment benchmarks dispatch policies end to end. The control VM, the
// entry VMs and simulated upstreams of a whole deployment run in one process on
// the loopback interface, under open-loop load and injected faults.
package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// Deployment is the size of a simulated system.
type Deployment struct {
	Name    string
	Service string
	Zones   []string
	// Entries and Upstreams are the numbers of entry VMs and upstreams in all
	// availability zones together.
	Entries   int
	Upstreams int
	Slots     int
	// Connections is the number of requests that wait for a slot at one
	// upstream before it sheds more.
	Connections int
}

// Montego and Guild are the current deployments.
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

// Settings of the service and its upstreams in every experiment.
const (
	meanServiceTime     = 100 * time.Millisecond
	coldSlots           = 1
	warmAfter           = 20
	probeCost           = 6 * time.Millisecond
	probeBudgetPermille = 10
	connectionCost      = time.Millisecond
	callTimeout         = 10 * time.Second
	// heavySigma is the standard deviation of the logarithm of heavy-tailed
	// service times.
	heavySigma = 1.3
)

// capacity returns the number of calls per second that all slots together can
// serve.
func (d Deployment) capacity() float64 {
	return float64(d.Upstreams*d.Slots) / meanServiceTime.Seconds()
}

// exponential returns a random service time from an exponential distribution.
func exponential(r *rand.Rand) time.Duration {
	return time.Duration(float64(meanServiceTime) * r.ExpFloat64())
}

// heavyTailed returns a random service time from a log-normal distribution with
// the same mean.
func heavyTailed(r *rand.Rand) time.Duration {
	x := heavySigma*r.NormFloat64() - heavySigma*heavySigma/2
	return time.Duration(float64(meanServiceTime) * math.Exp(x))
}
