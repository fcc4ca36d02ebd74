package allotment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"balsamcourse.example/balsamcourse/internal/freshness"
	"balsamcourse.example/balsamcourse/internal/permit"
)

const (
	// linkDelay is the one-way delay between VMs, askTimeout the time after which a
	// gateway gives up a request for permits.
	linkDelay  = 500 * time.Microsecond
	askTimeout = 150 * time.Millisecond
	// renewInterval is the interval of renewals at control.
	renewInterval = 400 * time.Millisecond
)

var testBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// replay models gateways that send the requests of organisations, in virtual time.
type replay struct {
	now      time.Duration
	events   events
	random   *rand.Rand
	gateways []*gatewayModel
	orgs     []*orgModel
	heard    map[string]time.Duration
	// started is the time since which control runs, after a restart of all processes.
	started     time.Duration
	controlLost bool
	// disabled is passed to the issuers.
	disabled disabledRules
	asks     int
	// waits holds the times that calls have waited for a permit after the probes.
	waits []time.Duration
	// probe is the time from the arrival of a call to the choice of its upstream.
	probe time.Duration
	// place chooses the gateway of a call.
	place func(org int) int
}

type gatewayModel struct {
	id     string
	leases *permit.Issuer
	issuer *Issuer
	holder *Holder
	start  int
	// down, frozen and cut are the faults: the process has ended, it is stopped, or
	// its links are.
	down, frozen, cut bool
	// leased is set once the process has held a lease.
	leased bool
	// backlog holds the messages that arrive while it is frozen.
	backlog []func()
	// waiting holds the calls that wait for permits, by organisation.
	waiting map[string][]func()
}

type orgModel struct {
	name  string
	limit Limit
	load  float64
	// ran holds the times at which upstreams ran requests, refusedAt those of
	// refusals.
	ran, refusedAt []time.Duration
}

type timedEvent struct {
	at  time.Duration
	seq int
	run func()
}

type events struct {
	list []timedEvent
	seq  int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	return e.list[i].at < e.list[j].at || e.list[i].at == e.list[j].at && e.list[i].seq < e.list[j].seq
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(timedEvent)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func (r *replay) after(d time.Duration, run func()) {
	r.events.seq++
	heap.Push(&r.events, timedEvent{r.now + d, r.events.seq, run})
}

// newReplay returns a replay of gateways among which loads, in calls per second, are
// spread. The allotment is 1.6 times the load, with burstSeconds of it as burst.
func newReplay(seed uint64, gateways int, loads []float64, burstSeconds float64) *replay {
	r := &replay{random: rand.New(rand.NewPCG(seed, 1)), heard: make(map[string]time.Duration), probe: 2 * linkDelay}
	r.place = func(int) int { return r.random.IntN(len(r.gateways)) }
	for n := range gateways {
		g := &gatewayModel{id: fmt.Sprint("gateway-", n)}
		r.gateways = append(r.gateways, g)
		r.restart(g)
	}
	for n, load := range loads {
		rate := 1.6 * load
		r.orgs = append(r.orgs, &orgModel{name: fmt.Sprint("org-", n), load: load, limit: Limit{PerSecond: rate, Burst: burstSeconds * rate}})
		r.arrive(n)
	}
	return r
}

// skewed returns loads of n organisations that sum up to total, each 1/k of the
// largest.
func skewed(n int, total float64) []float64 {
	loads := make([]float64, n)
	sum := 0.0
	for k := range loads {
		loads[k] = 1 / float64(k+1)
		sum += loads[k]
	}
	for k := range loads {
		loads[k] *= total / sum
	}
	return loads
}

// restart starts the process of a gateway anew.
func (r *replay) restart(g *gatewayModel) {
	g.start++
	start := g.start
	g.down, g.frozen, g.leased, g.backlog, g.waiting = false, false, false, nil, make(map[string][]func())
	g.leases = permit.NewIssuer(g.id)
	g.issuer = NewIssuer(g.id, g.leases, testBounds)
	g.issuer.rules = r.disabled
	g.holder = NewHolder(testBounds, r.random.Float64())
	var renew func()
	renew = func() {
		if g.start != start || g.down {
			return
		}
		if !g.frozen && !g.cut && !r.controlLost {
			sent := r.now
			r.heard[g.id] = r.now
			r.after(2*linkDelay, func() { g.deliver(start, func() { r.lease(g, sent) }) })
		}
		r.after(renewInterval, renew)
	}
	r.after(time.Duration(r.random.Int64N(int64(renewInterval))), renew)
}

// lease delivers a lease with the newest list of live gateways.
func (r *replay) lease(g *gatewayModel, sent time.Duration) {
	if g.cut {
		return
	}
	var live []string
	for _, other := range r.gateways {
		heard, ok := r.heard[other.id]
		if ok && r.now-max(heard, r.started) <= freshness.LiveTimeout {
			live = append(live, other.id)
		}
	}
	g.leases.SetLive(r.now, live)
	g.issuer.SetLive(r.now, live)
	g.leases.RecordLease(r.now, sent)
	g.issuer.RecordLease(r.now, sent)
	g.leased = true
	if r.started > 0 && !slices.ContainsFunc(r.gateways, func(g *gatewayModel) bool { return !g.leased }) {
		g.leases.RecordAllRestarted(r.now)
		g.issuer.RecordAllRestarted(r.now)
	}
}

// deliver runs f at the gateway unless its process has ended since start.
func (g *gatewayModel) deliver(start int, f func()) {
	switch {
	case g.down || g.start != start:
	case g.frozen:
		g.backlog = append(g.backlog, func() { g.deliver(start, f) })
	default:
		f()
	}
}

func (r *replay) thaw(g *gatewayModel) {
	g.frozen = false
	backlog := g.backlog
	g.backlog = nil
	for _, f := range backlog {
		f()
	}
}

// send makes a request for permits.
func (r *replay) send(g *gatewayModel, a *Ask) {
	if a == nil {
		return
	}
	r.asks++
	start, done := g.start, false
	end := func(answer Answer, answered bool) {
		g.deliver(start, func() {
			if done {
				return
			}
			done = true
			r.send(g, g.holder.Answered(r.now, a, answer, answered))
			r.wake(g, a.Organisation)
			r.after(30*time.Millisecond, func() { g.deliver(start, func() { r.flush(g, a.Organisation) }) })
		})
	}
	limit := r.org(a.Organisation).limit
	id := g.leases.IssuerOf(Key(a.Organisation, a.Shard))
	if id == g.id {
		r.after(0, func() {
			end(g.issuer.Take(r.now, a.Organisation, a.Shard, limit, a.Units, a.Returned), true)
		})
		return
	}
	r.after(askTimeout, func() { end(Answer{}, false) })
	n := slices.IndexFunc(r.gateways, func(other *gatewayModel) bool { return other.id == id })
	if n < 0 || g.cut {
		return
	}
	to := r.gateways[n]
	toStart := to.start
	r.after(linkDelay, func() {
		if to.cut {
			return
		}
		to.deliver(toStart, func() {
			answer := to.issuer.Take(r.now, a.Organisation, a.Shard, limit, a.Units, a.Returned)
			r.after(linkDelay, func() {
				if !to.cut && !g.cut {
					end(answer, true)
				}
			})
		})
	})
}

// flush hands back permits that are not needed.
func (r *replay) flush(g *gatewayModel, org string) {
	for a := g.holder.Flush(r.now, org); a != nil; a = g.holder.Flush(r.now, org) {
		r.send(g, a)
	}
}

func (r *replay) org(name string) *orgModel {
	return r.orgs[slices.IndexFunc(r.orgs, func(o *orgModel) bool { return o.name == name })]
}

func (r *replay) wake(g *gatewayModel, org string) {
	waiting := g.waiting[org]
	g.waiting[org] = nil
	for _, try := range waiting {
		try()
	}
}

// arrive schedules the calls of an organisation.
func (r *replay) arrive(n int) {
	o := r.orgs[n]
	// The rate may change meanwhile.
	wait := min(0.1, r.random.ExpFloat64()/max(o.load, 1e-9))
	r.after(time.Duration(wait*float64(time.Second)), func() {
		if wait < 0.1 {
			r.call(r.gateways[r.place(n)], o)
		}
		r.arrive(n)
	})
}

// call models one call. A gateway without a configuration refuses calls before they
// need a permit.
func (r *replay) call(g *gatewayModel, o *orgModel) {
	if g.down || g.frozen || g.leases.IssuerOf("") == "" {
		return
	}
	start := g.start
	ask, status, _ := g.holder.Expect(r.now, o.name, true)
	if status != Pending {
		o.refusedAt = append(o.refusedAt, r.now)
		return
	}
	r.send(g, ask)
	r.after(r.probe, func() {
		g.deliver(start, func() {
			began, tried, timer := r.now, false, false
			var try func()
			try = func() {
				_, status, _, ask := g.holder.Use(r.now, o.name, tried)
				tried = true
				switch status {
				case Granted:
					r.waits = append(r.waits, r.now-began)
					o.ran = append(o.ran, r.now)
				case Pending:
					g.waiting[o.name] = append(g.waiting[o.name], try)
					if !timer {
						timer = true
						r.after(HedgeDelay, func() { g.deliver(start, func() { timer = false; r.wake(g, o.name) }) })
					}
				default:
					o.refusedAt = append(o.refusedAt, r.now)
				}
				r.send(g, ask)
			}
			try()
		})
	})
}

func (r *replay) run(until time.Duration) {
	for r.events.Len() > 0 && r.events.list[0].at <= until {
		e := heap.Pop(&r.events).(timedEvent)
		r.now = e.at
		e.run()
	}
	r.now = until
}

// largestUse returns the largest number of requests that ran in any window.
func (o *orgModel) largestUse(from time.Duration) int {
	slices.Sort(o.ran)
	largest, first := 0, 0
	for n, at := range o.ran {
		for o.ran[first] <= at-testBounds.Window {
			first++
		}
		if at >= from {
			largest = max(largest, n-first+1)
		}
	}
	return largest
}

// violation returns a description of a window of any organisation over the bound.
func (r *replay) violation() string {
	for _, o := range r.orgs {
		if used, most := o.largestUse(0), testBounds.Most(o.limit); float64(used) > most {
			return fmt.Sprintf("%s: %d requests in a window, most %.1f", o.name, used, most)
		}
	}
	return ""
}

// refusedShare returns the part of the calls that were refused since the time from.
func (r *replay) refusedShare(from time.Duration) float64 {
	refused, ran := 0, 0
	for _, o := range r.orgs {
		for _, at := range o.refusedAt {
			if at >= from {
				refused++
			}
		}
		for _, at := range o.ran {
			if at >= from {
				ran++
			}
		}
	}
	return float64(refused) / math.Max(1, float64(refused+ran))
}

// waitQuantile returns the q-quantile of the waits for permits.
func (r *replay) waitQuantile(q float64) time.Duration {
	slices.Sort(r.waits)
	return r.waits[int(q*float64(len(r.waits)-1))]
}
