package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-report"] = lateReport }

// lateReport shows that a status report which arrives late brings an instance back that
// has deregistered. An instance crashes and starts again under the id that it had. Its
// first report is held on the way, and before it arrives the instance deregisters.
func lateReport(ctx context.Context, rec *record, trouble bool) (bool, error) {
	const (
		reportDelay = 4 * time.Second
		serveAfter  = 14 * time.Second
	)
	c, err := newCluster(rec, 3, 2)
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.start(); err != nil {
		return false, err
	}
	if _, err := c.order(ctx, 0, http.MethodPost, name("replacePath"), stateOf(3,
		routeOf("r-look", "/look/", "safe", "booking", "2000ms", "600ms"), serviceOf("booking"), limitsOf())); err != nil {
		return false, err
	}
	var stable []*instance
	for i := range 7 {
		in := newInstance(c, "booking", zoneNames[i%len(zoneNames)], fmt.Sprintf("i-stable%d", i), 2, 40*time.Millisecond)
		if err := in.boot(); err != nil {
			return false, err
		}
		go in.report(ctx)
		stable = append(stable, in)
	}
	leaver := newInstance(c, "booking", zoneNames[0], "i-leaver", 2, 40*time.Millisecond)
	if err := leaver.boot(); err != nil {
		return false, err
	}
	go leaver.report(ctx)
	defer func() {
		for _, in := range append(stable, leaver) {
			in.end("end of the case")
		}
	}()
	if err := c.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	sent := newSentTimes()
	stopClients := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 4 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopClients:
					return
				case <-ctx.Done():
					return
				case <-time.After(150 * time.Millisecond):
				}
				sent.add(attempt(rec, c.entries[(n+i)%len(c.entries)], http.MethodGet, "/look/2f", nil, 4*time.Second))
			}
		})
	}
	defer clients.Wait()
	defer sync.OnceFunc(func() { close(stopClients) })()
	time.Sleep(6 * time.Second)
	before := len(leaver.seen())
	rec.say("requests at the instance before its crash: %d", before)

	// The instance crashes, and sends nothing.
	leaver.setBeats(true)
	leaver.end("crash")
	time.Sleep(time.Second)
	if err := leaver.boot(); err != nil {
		return false, err
	}
	// The first report of the new boot goes to the first control machine.
	report := leaver.beat("ready")
	hold, err := newHoldingProxy(c.newIP()+":9000", c.controls[0].control(), rec)
	if err != nil {
		return false, err
	}
	defer hold.close()
	delay := time.Duration(0)
	if trouble {
		delay = reportDelay
	}
	hold.delay = delay
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		status, _, err := callControlWithin(ctx, reportDelay+2*time.Second, "http://"+hold.address+leaver.beatPath(), http.MethodPost, report)
		rec.add("status report of born %d: answered with %d, %v", leaver.born, status, err)
	}()
	time.Sleep(600 * time.Millisecond)
	// It is told to leave. It never says that it is draining: it deregisters first,
	// serves on for some time, and exits.
	leftAt, err := c.order(ctx, 1, http.MethodPost, leaver.leavePath(), leaver.leaveBody())
	if err != nil {
		return false, err
	}
	rec.say("deregistration of born %d acknowledged", leaver.born)
	select {
	case <-reported:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	time.Sleep(time.Until(leftAt.Add(serveAfter)))
	late := 0
	var last time.Time
	for _, a := range leaver.seen() {
		at, known := sent.of(a.id)
		if a.born == leaver.born && a.at.After(leftAt.Add(boundDrain)) && known && at.After(leftAt.Add(boundDrain)) {
			late++
			last = a.at
		}
	}
	rec.say("requests that reached the instance later than %v after the acknowledgement: %d", boundDrain, late)
	if late > 0 {
		rec.say("the last one %.1f s after it", last.Sub(leftAt).Seconds())
	}
	return late > 0, nil
}

// holdingProxy is a TCP proxy that holds what clients send for a time.
type holdingProxy struct {
	address, target string
	delay           time.Duration
	listener        net.Listener
	rec             *record
}

func newHoldingProxy(address, target string, rec *record) (*holdingProxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &holdingProxy{address: address, target: target, listener: l, rec: rec}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

func (p *holdingProxy) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	time.Sleep(p.delay)
	if p.delay > 0 {
		p.rec.add("the held report goes on")
	}
	up, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	go func() { _, _ = io.Copy(up, c) }()
	_, _ = io.Copy(c, up)
}

func (p *holdingProxy) close() { _ = p.listener.Close() }
