package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Load of the case: 36 slots for 41 requests a second, of which 24 for 27 a second are
// left after three times scale_in.
const (
	proofWork      = 880 * time.Millisecond
	proofPerSecond = 35.0
	proofBudget    = 15 * time.Second
	instanceCount  = 18
	// scaleIns is the number of times that leaveCount instances leave, scaleInGap the time
	// between them.
	scaleIns   = 3
	leaveCount = 2
	scaleInGap = 2 * time.Second
	// stopCount is the number of stops, of each gateway in turn.
	stopCount = 5
	// stopAfter is the time from the last scale_in, or the end of one stop, to the next stop.
	stopAfter = 11 * time.Second
	// latestSend is the time after SIGTERM up to which a request that is still at work
	// near the end of grace is excused.
	latestSend = 3 * time.Second
)

// plannedStop lets a third of the instances leave, so that the rest is overloaded, stops one gateway with
// SIGTERM, and checks the rule LOST around that.
func plannedStop(ctx context.Context, rec *recorder, trouble bool) (int, error) {
	s, err := newSystem(rec, 3, 3)
	if err != nil {
		return 0, err
	}
	defer s.close()
	for n := range instanceCount {
		i, err := newInstance(s.network, n, "proofs", zoneNames[n%len(zoneNames)], 2, proofWork, 0.3)
		if err != nil {
			return 0, err
		}
		s.instances = append(s.instances, i)
	}
	if err := s.boot(ctx, proofState); err != nil {
		return 0, err
	}
	c := &clients{s: s}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	go c.send(sending, class{"retakes.example", http.MethodGet, "/proofs/3", proofBudget, 2}, proofPerSecond)
	pause(ctx, 5*time.Second)
	for n := range scaleIns {
		for _, i := range s.instances[n*leaveCount : (n+1)*leaveCount] {
			go i.scaleIn(ctx, s)
		}
		pause(ctx, scaleInGap)
	}
	breaks := 0
	for n := range stopCount {
		g := s.gateways[n%len(s.gateways)]
		pause(ctx, stopAfter)
		term := time.Now()
		if trouble {
			s.stopGateway(ctx, g)
		} else {
			pause(ctx, grace)
		}
		pause(ctx, 2*time.Second)
		breaks += s.lostRequests(c, g, term)
		if trouble {
			if err := g.start(); err != nil {
				return 0, err
			}
		}
	}
	rec.line("the case has ended; what follows is cut off by the end of all processes")
	stop()
	return breaks, nil
}

// stopGateway sends SIGTERM, and SIGKILL after grace, as the platform does.
func (s *system) stopGateway(ctx context.Context, g *process) {
	s.rec.line("planned work: SIGTERM to %s", g.name)
	g.signal(syscall.SIGTERM)
	select {
	case <-g.ended:
		s.rec.line("planned work: %s has ended", g.name)
	case <-time.After(grace):
		s.rec.line("planned work: SIGKILL to %s", g.name)
		g.signal(syscall.SIGKILL)
		<-g.ended
	case <-ctx.Done():
	}
}

// lostRequests returns the number of requests to the gateway whose connection ended
// without a complete answer from term until a second after grace, without an excuse.
func (s *system) lostRequests(c *clients, g *process, term time.Time) int {
	c.mu.Lock()
	done := append([]attempt{}, c.done...)
	c.mu.Unlock()
	to := fmt.Sprintf("%s:%d", g.ip, ingressPort)
	lost := 0
	for _, a := range done {
		if a.gateway != to || a.err == nil || a.unsent || a.ended.Before(term) || a.ended.After(term.Add(grace+time.Second)) {
			continue
		}
		if strings.Contains(a.err.Error(), "timeout") {
			// The time budget was reached.
			continue
		}
		run, ran := s.runOf(a.id)
		if !ran && a.ended.Sub(a.sent) <= lossSlack {
			continue
		}
		atWork := ran && (run.end.IsZero() || run.end.After(term.Add(grace*5/6)))
		if atWork && a.sent.Before(term.Add(latestSend)) {
			continue
		}
		lost++
		s.rec.line("LOST: request %s, sent %v after SIGTERM, ended %v after it without an answer (%v); reached an instance: %v",
			a.id, a.sent.Sub(term).Round(time.Millisecond), a.ended.Sub(term).Round(time.Millisecond), a.err, ran)
	}
	return lost
}
