package soak

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"balsamcourse.example/balsamcourse/internal/testbed"
	"balsamcourse.example/balsamcourse/internal/wait"
)

// strike carries out one disruption and returns when it is over.
func (r *run) strike(ctx context.Context, d Disruption) {
	k := kindOf(d.Kind)
	r.journal("disruption", d)
	switch k.class {
	case onGateway:
		r.strikeNode(ctx, d, r.system.gateways[d.Target])
	case onControl:
		if d.Kind == holdOrder {
			r.holdOrder(ctx, d, r.system.controls[d.Target])
			return
		}
		r.strikeNode(ctx, d, r.system.controls[d.Target])
	case onAllControl:
		r.strikeAll(ctx, d, r.system.controls, killControl)
	case onAllGateways:
		r.strikeAll(ctx, d, r.system.gateways, killGateway)
	case onUpstream:
		r.strikeUpstream(ctx, d, r.system.upstreams[d.Target])
	case onZone:
		r.takeZoneOut(ctx, d)
	case onCallers:
		r.addCallers(ctx, d)
	}
}

// burstFactor is the number of callers of a burst for each that is always there.
const burstFactor = 4

// addCallers adds callers that do not pause for the time of a burst.
func (r *run) addCallers(ctx context.Context, d Disruption) {
	end := r.history.begin(d)
	defer end()
	ctx, cancel := context.WithTimeout(ctx, d.For)
	defer cancel()
	var callers sync.WaitGroup
	for range r.size.callers * burstFactor {
		c := r.newExtraCaller()
		callers.Go(func() { c.run(ctx) })
	}
	callers.Wait()
}

// linkKinds are the disruptions of links, which may overlap with those of processes.
var linkKinds = map[string]func(l *proxy){
	cutGateway:      (*proxy).cut,
	cutControl:      (*proxy).cut,
	cutUpstream:     (*proxy).cut,
	silenceGateway:  (*proxy).silence,
	silenceControl:  (*proxy).silence,
	silenceUpstream: (*proxy).silence,
	resetControl:    (*proxy).reset,
	resetUpstream:   (*proxy).reset,
	slowControl:     func(l *proxy) { l.bytesPerSecond.Store(20 << 10) },
	slowUpstream:    func(l *proxy) { l.bytesPerSecond.Store(20 << 10) },
	delayUpstream:   func(l *proxy) { l.delay.Store(int64(60 * time.Millisecond)) },
}

func (r *run) strikeLink(ctx context.Context, d Disruption, l *proxy) {
	end := r.history.begin(d)
	linkKinds[d.Kind](l)
	wait.For(ctx, d.For)
	l.heal()
	end()
}

// strikeNode disrupts the process or the link of a VM.
func (r *run) strikeNode(ctx context.Context, d Disruption, n *node) {
	if linkKinds[d.Kind] != nil {
		r.strikeLink(ctx, d, n.link)
		return
	}
	if !n.busy.TryLock() {
		// Another disruption of the process is under way.
		return
	}
	defer n.busy.Unlock()
	end := r.history.begin(d)
	defer end()
	p := n.process
	switch d.Kind {
	case pauseGateway, pauseControl:
		p.Signal(syscall.SIGSTOP)
		wait.For(ctx, d.For)
		p.Signal(syscall.SIGCONT)
		return
	case stopGateway:
		r.stopUnderLoad(ctx, d.Target, p)
	case stopControl:
		r.fail(p.Stop())
	default:
		p.Kill()
	}
	wait.For(ctx, d.For)
	switch d.Kind {
	case wipeControl:
		r.fail(r.system.wipe(n))
	case moveGateway:
		r.fail(r.system.move(n))
	case upgrade:
		p.Program = r.system.programs[rand.IntN(len(r.system.programs))]
	}
	r.fail(r.system.restart(n))
}

// stopCallers is the number of callers that press on a gateway during its planned stop.
const stopCallers = 24

// stopUnderLoad carries out a planned stop while callers go on using the gateway.
func (r *run) stopUnderLoad(ctx context.Context, gateway int, p *testbed.Process) {
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for range stopCallers {
		c := r.newExtraCaller()
		c.only = &gateway
		callers.Go(func() { c.run(ctx) })
	}
	r.fail(p.Stop())
	cancel()
	callers.Wait()
}

// strikeAll strikes each of the VMs with a disruption of the given kind.
func (r *run) strikeAll(ctx context.Context, d Disruption, nodes []*node, kind string) {
	var all sync.WaitGroup
	for i, n := range nodes {
		all.Go(func() {
			d := d
			d.Target = i
			d.Kind = kind
			r.strikeNode(ctx, d, n)
		})
	}
	all.Wait()
}

// upstreamFaults are the faults of an upstream that a disruption turns on and off.
var upstreamFaults = map[string]func(f *faults, on bool){
	slowWork:      func(f *faults, on bool) { f.slow = on },
	hangUpstream:  func(f *faults, on bool) { f.hang = on },
	greyUpstream:  func(f *faults, on bool) { f.grey = on },
	lyingHealth:   func(f *faults, on bool) { f.liesIll = on },
	doubleAnswers: func(f *faults, on bool) { f.double = on },
	brokenAnswers: func(f *faults, on bool) { f.broken = on },
}

func (r *run) strikeUpstream(ctx context.Context, d Disruption, u *upstream) {
	if linkKinds[d.Kind] != nil {
		r.strikeLink(ctx, d, u.link)
		return
	}
	end := r.history.begin(d)
	defer end()
	if fault := upstreamFaults[d.Kind]; fault != nil {
		u.set(func(f *faults) { fault(f, true) })
		wait.For(ctx, d.For)
		u.set(func(f *faults) { fault(f, false) })
		return
	}
	switch d.Kind {
	case crashUpstream:
		r.fail(u.restart(ctx, d.For))
	case leaveUpstream:
		r.fail(u.leave(ctx, d.For, d.Target%3 == 0))
	case pauseUpstream:
		until := r.history.now() + d.For
		u.set(func(f *faults) { f.pauseUntil = until })
		wait.For(ctx, d.For)
	case crashingRequest:
		r.sendCrashing(ctx)
	}
}

// crashingAttempts is how often a crashing request is sent.
const crashingAttempts = 12

// sendCrashing sends a request that ends each upstream which runs it again and again.
func (r *run) sendCrashing(ctx context.Context) {
	c := r.newExtraCaller()
	c.pause = callPause
	for i := range crashingAttempts {
		id := c.name(i)
		result, _ := c.callAt(id, crashRoute, c.rng.IntN(len(c.addresses)))
		r.history.addCall(result)
		if !wait.For(ctx, 200*time.Millisecond) {
			return
		}
	}
}

// takeZoneOut takes a zone of upstreams out and back.
func (r *run) takeZoneOut(ctx context.Context, d Disruption) {
	if !r.zoneBusy.TryLock() {
		return
	}
	defer r.zoneBusy.Unlock()
	end := r.history.begin(d)
	defer end()
	if !r.order(ctx, func(ctx context.Context, o Operator) error { return o.SetZoneOut(ctx, zoneName(d.Target), true) }) {
		return
	}
	e := evacuation{zone: d.Target, acked: r.history.now()}
	wait.For(ctx, d.For)
	e.back = r.history.now()
	r.history.addEvacuation(e)
	r.order(ctx, func(ctx context.Context, o Operator) error { return o.SetZoneOut(ctx, zoneName(d.Target), false) })
}

const (
	// heldOrderPause is the mean pause between the orders of holdOrder.
	heldOrderPause = 1200 * time.Millisecond
	// maxPausesInSeries is the greatest number of pauses that follow each other, while
	// the process runs for 0.1 to 10 ms between two of them.
	maxPausesInSeries = 3
)

// holdOrder takes zones out, brings them back and takes them out again while the process
// of a control VM is suspended. The operator asks that VM first to bring them back; the
// order waits there until the process resumes, before or after the last order.
func (r *run) holdOrder(ctx context.Context, d Disruption, n *node) {
	if !r.zoneBusy.TryLock() {
		return
	}
	defer r.zoneBusy.Unlock()
	if !n.busy.TryLock() {
		return
	}
	defer n.busy.Unlock()
	rng := rand.New(rand.NewPCG(r.settings.Seed, uint64(d.At)))
	held := []int{rng.IntN(zones), rng.IntN(zones)}
	if held[1] == held[0] {
		held = held[:1]
	}
	set := func(zone int, out bool) bool {
		return r.order(ctx, func(ctx context.Context, o Operator) error { return o.SetZoneOut(ctx, zoneName(zone), out) })
	}
	pause := func() { wait.For(ctx, time.Duration(rng.ExpFloat64()*float64(heldOrderPause))) }
	for _, zone := range held {
		if !set(zone, true) {
			return
		}
	}
	pause()
	end := r.history.begin(d)
	n.process.Signal(syscall.SIGSTOP)
	series := 1 + rng.IntN(maxPausesInSeries)
	awake := time.Duration(float64(time.Millisecond) * math.Pow(10, 2*rng.Float64()-1))
	var resumed sync.WaitGroup
	resumed.Go(func() {
		for i := range series {
			if i > 0 {
				n.process.Signal(syscall.SIGCONT)
				wait.For(ctx, awake)
				n.process.Signal(syscall.SIGSTOP)
			}
			wait.For(ctx, d.For/time.Duration(series))
		}
		n.process.Signal(syscall.SIGCONT)
		end()
	})
	defer resumed.Wait()
	var orders sync.WaitGroup
	for _, zone := range held {
		orders.Go(func() {
			attempt, cancel := context.WithTimeout(ctx, orderTimeout)
			// The process is suspended, so that an error is expected.
			_ = r.dialect.Operator(n.vm, r.system.client).SetZoneOut(attempt, zoneName(zone), false)
			cancel()
			set(zone, false)
		})
	}
	orders.Wait()
	pause()
	var out []evacuation
	for _, zone := range held {
		if set(zone, true) {
			out = append(out, evacuation{zone: zone, acked: r.history.now()})
		}
	}
	resumed.Wait()
	wait.For(ctx, evacuationTime+contactTime+time.Duration(rng.Float64()*float64(contactTime)))
	for _, e := range out {
		e.back = r.history.now()
		r.history.addEvacuation(e)
	}
	for _, e := range out {
		set(e.zone, false)
	}
}
