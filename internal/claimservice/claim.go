package claimservice

import (
	"context"
	"sync"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// minReportDelay is the delay before the first retry of an outcome report.
	// It doubles with each retry.
	minReportDelay = 100 * time.Millisecond
	// maxReportDelay is the longest delay between retries.
	maxReportDelay = 5 * time.Second
	// maxTriesWithQuorum limits the tries of a report once the members that have not
	// acknowledged it are too few for a quorum. Before that, it is retried until the
	// process stops: otherwise the key of a request that was never sent could remain
	// claimed.
	maxTriesWithQuorum = 8
)

// Claim is the exclusive right to send one request under its Idempotency-Key. The
// first call of Finish, Release or MarkUnknown ends it; later calls have no
// effect. It is safe for concurrent use.
type Claim struct {
	service   *Service
	attempt   *claim.Attempt
	startedAt time.Duration

	mu    sync.Mutex
	ended bool
}

// Start must be called directly before the first byte of each try is sent. It
// returns an error, and releases the claim, if the configuration is stale or the
// claim is older than Options.MaxStartDelay: a process that was suspended must
// not send a request under a claim that may be past its retention. It also
// returns an error if the claim has ended.
func (c *Claim) Start(_ context.Context) error {
	if c.hasEnded() {
		return fault.New(fault.ClaimsUnavailable, "claim has already ended")
	}
	if fresh := c.service.opts.ConfigFresh; fresh != nil && !fresh() {
		c.Release()
		return fault.New(fault.NotFresh, "configuration became stale before the request was sent")
	}
	if age := c.service.now() - c.startedAt; age > c.service.opts.MaxStartDelay {
		c.Release()
		return fault.New(fault.ClaimsUnavailable, "claim is %v old, the limit for sending the request is %v", age, c.service.opts.MaxStartDelay)
	}
	return nil
}

func (c *Claim) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// Finish ends the claim and stores the response for retries of the request. A nil
// response marks the request as run without a stored response. It does not block.
func (c *Claim) Finish(response *clusterpb.KeptAnswer) {
	r := c.attempt.Record(clusterpb.ClaimState_CLAIM_STATE_FINISHED)
	r.Answer = c.service.limitBody(response)
	c.end(r)
}

// limitBody drops the body of a response that exceeds Options.MaxKeptBytes.
func (s *Service) limitBody(response *clusterpb.KeptAnswer) *clusterpb.KeptAnswer {
	if response == nil {
		return &clusterpb.KeptAnswer{Truncated: true}
	}
	if len(response.Body) > s.opts.MaxKeptBytes {
		return &clusterpb.KeptAnswer{Status: response.Status, Truncated: true}
	}
	return response
}

// Release ends the claim of a request that has not run and will not be sent. Other
// attempts may then claim the key. It does not block.
func (c *Claim) Release() { c.end(c.attempt.Record(clusterpb.ClaimState_CLAIM_STATE_RELEASED)) }

// MarkUnknown ends the claim of a request that may or may not have run. It does
// not block.
func (c *Claim) MarkUnknown() { c.end(c.attempt.Record(clusterpb.ClaimState_CLAIM_STATE_UNKNOWN)) }

func (c *Claim) end(r *clusterpb.ClaimRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.service.reportOutcome(c.attempt, r, nil)
}

// reportOutcome sends the final record of an attempt to the members with the IDs
// in recipients, or to the current group of the key if recipients is nil. It does
// not block.
func (s *Service) reportOutcome(a *claim.Attempt, r *clusterpb.ClaimRecord, recipients map[string]bool) {
	s.pendingReports.Add(1)
	started := s.spawn(func() {
		defer s.pendingReports.Add(-1)
		rep := &outcomeReport{service: s, attempt: a, record: r, recipients: recipients, acked: make(map[string]bool)}
		rep.run()
	})
	if !started {
		s.pendingReports.Add(-1)
	}
}

// outcomeReport delivers the final record of one attempt.
type outcomeReport struct {
	service *Service
	attempt *claim.Attempt
	record  *clusterpb.ClaimRecord
	// recipients limits the delivery to these members; nil selects the current
	// group of the key.
	recipients map[string]bool

	mu    sync.Mutex
	acked map[string]bool
}

// run repeats the delivery until it succeeds or the service stops.
func (r *outcomeReport) run() {
	delay := minReportDelay
	for try := 1; ; try++ {
		r.sendToMissing()
		if r.delivered(try) {
			return
		}
		select {
		case <-time.After(delay):
		case <-r.service.stop:
			return
		}
		delay = min(2*delay, maxReportDelay)
	}
}

// sendToMissing sends the record to the members that have not acknowledged it and
// waits for their replies.
func (r *outcomeReport) sendToMissing() {
	var wait sync.WaitGroup
	for _, id := range r.unacknowledged() {
		wait.Add(1)
		m := &clusterpb.ClaimMessage{
			Kind:   clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_UPDATE,
			From:   r.service.self.ID,
			To:     id,
			Epoch:  r.service.history.Load().Epoch(),
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

func (r *outcomeReport) ack(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked[id] = true
}

// targetIDs returns the IDs of the members to report to. Recipients that are no
// longer members are left out.
func (r *outcomeReport) targetIDs() []string {
	history := r.service.history.Load()
	var ids []string
	for id := range r.recipients {
		if _, ok := history.Member(id); ok {
			ids = append(ids, id)
		}
	}
	if r.recipients != nil {
		return ids
	}
	for _, m := range r.attempt.Group(history) {
		ids = append(ids, m.ID)
	}
	return ids
}

// unacknowledged returns the targets that have not acknowledged the record.
func (r *outcomeReport) unacknowledged() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, id := range r.targetIDs() {
		if !r.acked[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// delivered reports whether the delivery is complete: all targets have acknowledged
// the record or, after maxTriesWithQuorum tries, the others are too few for a
// quorum.
func (r *outcomeReport) delivered(try int) bool {
	missing := len(r.unacknowledged())
	if missing == 0 {
		return true
	}
	quorum := r.attempt.Group(r.service.history.Load()).Quorum()
	return try >= maxTriesWithQuorum && missing < quorum
}
