package claims

import (
	"context"
	"sync"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// reportRetry is the first pause before an outcome is reported again.
	reportRetry = 100 * time.Millisecond
	// maxReportRetry bounds the pause.
	maxReportRetry = 5 * time.Second
	// quorumTries bounds the reports of one outcome that a quorum has
	// acknowledged. One without a quorum is reported until the process stops:
	// otherwise its key could stay claimed by a request that never ran.
	quorumTries = 8
)

// Claim is the right to send one request. Exactly one of Finish, Release and
// Unknown takes effect, the first that is called.
type Claim struct {
	service *Service
	attempt *claim.Attempt
	begun   time.Duration

	mu    sync.Mutex
	ended bool
}

// Start is called right before the first byte of each try is sent. It fails
// when the claim has ended, when the configuration is not fresh, or when the
// claim is too old: a process that slept must not send under a claim that may
// be past its retention. A failed Start releases the claim.
func (c *Claim) Start(_ context.Context) error {
	if c.hasEnded() {
		return fault.New(fault.ClaimsUnavailable, "the claim has ended")
	}
	if fresh := c.service.opts.ConfigFresh; fresh != nil && !fresh() {
		c.Release()
		return fault.New(fault.NotFresh, "before the request was sent")
	}
	if age := c.service.now() - c.begun; age > c.service.opts.MaxStartDelay {
		c.Release()
		return fault.New(fault.ClaimsUnavailable, "the claim is %v old", age)
	}
	return nil
}

func (c *Claim) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// Finish keeps the answer for resends. It does not block.
func (c *Claim) Finish(answer *clusterpb.KeptAnswer) {
	r := c.attempt.Record(clusterpb.ClaimState_CLAIM_STATE_FINISHED)
	r.Answer = c.service.fit(answer)
	c.end(r)
}

// fit drops the body of an answer that is too large to keep.
func (s *Service) fit(a *clusterpb.KeptAnswer) *clusterpb.KeptAnswer {
	if a == nil {
		return &clusterpb.KeptAnswer{Truncated: true}
	}
	if len(a.Body) > s.opts.MaxKeptBytes {
		return &clusterpb.KeptAnswer{Status: a.Status, Truncated: true}
	}
	return a
}

// Release gives the key up: the request is known not to have run, and will
// not be sent under this claim.
func (c *Claim) Release() { c.end(c.attempt.Record(clusterpb.ClaimState_CLAIM_STATE_RELEASED)) }

// MarkUnknown ends the claim of a request that may or may not have run.
func (c *Claim) MarkUnknown() { c.end(c.attempt.Record(clusterpb.ClaimState_CLAIM_STATE_UNKNOWN)) }

func (c *Claim) end(r *clusterpb.ClaimRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.service.report(c.attempt, r, nil)
}

// report tells members how an attempt ended: those in only, or the current
// group when only is nil. It returns at once.
func (s *Service) report(a *claim.Attempt, r *clusterpb.ClaimRecord, only map[string]bool) {
	s.reports.Add(1)
	started := s.spawn(func() {
		defer s.reports.Add(-1)
		rep := &report{service: s, attempt: a, record: r, only: only, acked: make(map[string]bool)}
		rep.run()
	})
	if !started {
		s.reports.Add(-1)
	}
}

// report is the delivery of one outcome.
type report struct {
	service *Service
	attempt *claim.Attempt
	record  *clusterpb.ClaimRecord
	// only limits the delivery to these members; nil means the current group.
	only map[string]bool

	mu    sync.Mutex
	acked map[string]bool
}

func (r *report) run() {
	pause := reportRetry
	for try := 1; ; try++ {
		r.deliver()
		if r.done(try) {
			return
		}
		select {
		case <-time.After(pause):
		case <-r.service.stop:
			return
		}
		pause = min(2*pause, maxReportRetry)
	}
}

// deliver sends the outcome to the members that have not acknowledged it, and
// waits for their answers.
func (r *report) deliver() {
	var wait sync.WaitGroup
	for _, id := range r.missing() {
		wait.Add(1)
		m := &clusterpb.ClaimMessage{
			Kind:   clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_UPDATE,
			From:   r.service.self.ID,
			To:     id,
			Epoch:  r.service.timeline.Load().Epoch(),
			Record: r.record,
		}
		r.service.send(m, func(reply *clusterpb.ClaimMessage, err error) {
			defer wait.Done()
			if err == nil && reply.Granted {
				r.ack(id)
			}
		})
	}
	wait.Wait()
}

func (r *report) ack(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked[id] = true
}

// targets returns the members that are to know; one that has been removed can
// no longer be told.
func (r *report) targets() []string {
	t := r.service.timeline.Load()
	var ids []string
	for id := range r.only {
		if _, ok := t.Member(id); ok {
			ids = append(ids, id)
		}
	}
	if r.only != nil {
		return ids
	}
	for _, m := range r.attempt.Group(t) {
		ids = append(ids, m.ID)
	}
	return ids
}

func (r *report) missing() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, id := range r.targets() {
		if !r.acked[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// done reports whether the delivery has reached all members, or after many
// tries so many that the others are no quorum.
func (r *report) done(try int) bool {
	missing := len(r.missing())
	if missing == 0 {
		return true
	}
	quorum := r.attempt.Group(r.service.timeline.Load()).Quorum()
	return try >= quorumTries && missing < quorum
}
