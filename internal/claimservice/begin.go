package claimservice

import (
	"context"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// resendInterval is how often claims are sent again to members without a vote.
	resendInterval = 50 * time.Millisecond
	// maxPendingReplies is the size of the reply queue of one voteRound. It exceeds
	// the number of members that can have a message in flight at once.
	maxPendingReplies = 64
)

// DecisionKind tells what to do with a request.
type DecisionKind int

// The kinds of decisions.
const (
	// Proceed allows the request to be sent under the claim of the decision.
	Proceed DecisionKind = iota + 1
	// Replay returns the stored response of an earlier attempt.
	Replay
	// Refuse forbids sending the request.
	Refuse
)

// Decision is the result of Begin. Only the field that belongs to Kind is set.
type Decision struct {
	Kind DecisionKind
	// Claim is set for Proceed.
	Claim *Claim
	// Response is set for Replay.
	Response *clusterpb.KeptAnswer
	// Refusal is set for Refuse.
	Refusal *fault.Error
}

// Begin claims the Idempotency-Key of a request to a service; digest is the hash
// of the content of the request. It blocks until the group of the key has
// decided, ctx ends or Options.Timeout has passed. After Proceed, one of Finish,
// Release and MarkUnknown of the claim must be called.
func (s *Service) Begin(ctx context.Context, service, key string, digest [32]byte) Decision {
	if s.history.Load() == nil {
		return Decision{Kind: Refuse, Refusal: fault.New(fault.ClaimsUnavailable, "no configuration with claim members received yet")}
	}
	startedAt := s.now()
	a := claim.NewAttempt(service, key, digest, s.self.Name(), s.lastAttempt.Add(1))
	a.Draining = s.isDraining
	r := newVoteRound(s, a)
	result := r.decide(ctx)
	s.metrics.Timer("decide").Record(s.now() - startedAt)
	if result.Granted {
		return Decision{Kind: Proceed, Claim: &Claim{service: s, attempt: a, startedAt: startedAt}}
	}
	s.reportOutcome(a, a.Record(clusterpb.ClaimState_CLAIM_STATE_RELEASED), r.mayHaveStored)
	if result.Response != nil {
		return Decision{Kind: Replay, Response: result.Response}
	}
	s.metrics.Tagged(map[string]string{"kind": string(result.Refusal.Kind)}).Counter("refused").Inc(1)
	return Decision{Kind: Refuse, Refusal: result.Refusal}
}

// memberReply is the reply of a member, or the error of the call to it.
type memberReply struct {
	from    string
	message *clusterpb.ClaimMessage
	err     error
}

// voteRound sends the claim of one attempt to the group of its key and collects
// the replies. Its maps are sets of entry VM IDs.
type voteRound struct {
	service *Service
	attempt *claim.Attempt
	replies chan memberReply
	// mayHaveStored holds the members that may have stored the attempt.
	mayHaveStored map[string]bool
	// awaitingReply holds the members with a message in flight.
	awaitingReply map[string]bool
	// outdated holds the members that have replied with an older epoch.
	outdated map[string]bool
}

func newVoteRound(s *Service, a *claim.Attempt) *voteRound {
	return &voteRound{
		service:       s,
		attempt:       a,
		replies:       make(chan memberReply, maxPendingReplies),
		mayHaveStored: make(map[string]bool),
		awaitingReply: make(map[string]bool),
		outdated:      make(map[string]bool),
	}
}

// decide sends the claim until the group has decided or the time is over.
func (r *voteRound) decide(ctx context.Context) claim.Result {
	ctx, cancel := context.WithTimeout(ctx, r.service.opts.Timeout)
	defer cancel()
	resend := time.NewTicker(resendInterval)
	defer resend.Stop()
	r.sendClaims()
	for {
		select {
		case reply := <-r.replies:
			r.handleReply(reply)
		case <-resend.C:
			r.sendClaims()
		case <-ctx.Done():
			return r.attempt.ResultAtTimeout(r.service.history.Load())
		case <-r.service.stop:
			return r.attempt.ResultAtTimeout(r.service.history.Load())
		}
		if result, ok := r.attempt.Result(r.service.history.Load()); ok {
			return result
		}
	}
}

// sendClaims sends the claim to the members whose vote is missing, except those
// with a message in flight. Outdated members also get the current epoch.
func (r *voteRound) sendClaims() {
	for _, m := range r.attempt.ClaimRequests(r.service.history.Load()) {
		if r.awaitingReply[m.To] {
			continue
		}
		r.mayHaveStored[m.To] = true
		r.awaitingReply[m.To] = true
		if r.outdated[m.To] {
			m.ClaimEpoch = r.service.epoch.Load()
		}
		r.service.send(m, func(reply *clusterpb.ClaimMessage, err error) {
			r.enqueueReply(memberReply{m.To, reply, err})
		})
	}
}

// enqueueReply passes a reply to the goroutine that runs decide. It does not block,
// as that goroutine may have ended.
func (r *voteRound) enqueueReply(reply memberReply) {
	select {
	case r.replies <- reply:
	default:
	}
}

// handleReply processes a reply. A member that reports a competing attempt has not
// stored this one. If the epochs differ, the side with the older epoch receives
// the newer one, and the claim is sent to the member again at once.
func (r *voteRound) handleReply(reply memberReply) {
	delete(r.awaitingReply, reply.from)
	if reply.err != nil {
		return
	}
	r.attempt.AddReply(reply.message)
	if reply.message.Record != nil {
		delete(r.mayHaveStored, reply.from)
	}
	own := r.service.history.Load().Epoch()
	switch {
	case reply.message.ClaimEpoch != nil:
		r.service.applyEpoch(reply.message.ClaimEpoch)
		r.sendClaims()
	case reply.message.Epoch < own && !r.outdated[reply.from]:
		r.outdated[reply.from] = true
		r.sendClaims()
	}
}
