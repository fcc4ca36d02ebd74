package claims

import (
	"context"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// askAgain is the time after which members without a vote are asked again.
const askAgain = 50 * time.Millisecond

// Kind says what to do with a request.
type Kind int

// The kinds of decisions.
const (
	// Proceed: the request may be sent under the claim of the decision.
	Proceed Kind = iota + 1
	// Replay: the request ran before; its answer is in the decision.
	Replay
	// Refuse: the request must not be sent.
	Refuse
)

// Decision is the outcome of Begin. The field that belongs to Kind is set.
type Decision struct {
	Kind    Kind
	Claim   *Claim
	Answer  *clusterpb.KeptAnswer
	Refusal *fault.Error
}

// Begin claims a key of a service for a request with the given content. After
// Proceed the caller must end the claim by Finish, Release or Unknown.
func (s *Service) Begin(ctx context.Context, service, key string, digest [32]byte) Decision {
	if s.timeline.Load() == nil {
		return Decision{Kind: Refuse, Refusal: fault.New(fault.ClaimsUnavailable, "no members are known yet")}
	}
	begun := s.now()
	a := claim.NewAttempt(service, key, digest, s.self.Name(), s.number.Add(1))
	a.Alive = s.leaving
	r := &round{service: s, attempt: a, answers: make(chan *clusterpb.ClaimMessage, maxAnswers), asked: make(map[string]bool)}
	v := r.decide(ctx)
	s.scope.Timer("decide").Record(s.now() - begun)
	if v.Granted {
		return Decision{Kind: Proceed, Claim: &Claim{service: s, attempt: a, begun: begun}}
	}
	s.report(a, a.Record(clusterpb.ClaimState_CLAIM_STATE_RELEASED), r.asked)
	if v.Answer != nil {
		return Decision{Kind: Replay, Answer: v.Answer}
	}
	s.scope.Tagged(map[string]string{"kind": string(v.Refusal.Kind)}).Counter("refused").Inc(1)
	return Decision{Kind: Refuse, Refusal: v.Refusal}
}

// maxAnswers bounds the answers that wait to be taken in; more are dropped, as
// if they had been lost.
const maxAnswers = 64

// round collects the answers to one attempt.
type round struct {
	service *Service
	attempt *claim.Attempt
	answers chan *clusterpb.ClaimMessage
	// asked holds the members that may have stored the attempt.
	asked map[string]bool
}

func (r *round) decide(ctx context.Context) claim.Verdict {
	ctx, cancel := context.WithTimeout(ctx, r.service.opts.Timeout)
	defer cancel()
	again := time.NewTicker(askAgain)
	defer again.Stop()
	r.ask()
	for {
		select {
		case m := <-r.answers:
			r.receive(m)
		case <-again.C:
			r.ask()
		case <-ctx.Done():
			return r.attempt.Expired(r.service.timeline.Load())
		}
		if v, ok := r.attempt.Verdict(r.service.timeline.Load()); ok {
			return v
		}
	}
}

func (r *round) ask() {
	for _, m := range r.attempt.Asks(r.service.timeline.Load()) {
		r.asked[m.To] = true
		r.service.send(m, r.answer)
	}
}

// answer hands an answer to the goroutine of the round.
func (r *round) answer(m *clusterpb.ClaimMessage, err error) {
	if err != nil {
		return
	}
	select {
	case r.answers <- m:
	default:
	}
}

// receive takes in an answer. A member that has stored another attempt has not
// stored this one.
func (r *round) receive(m *clusterpb.ClaimMessage) {
	r.attempt.Receive(m)
	if m.Record != nil {
		delete(r.asked, m.From)
	}
}
