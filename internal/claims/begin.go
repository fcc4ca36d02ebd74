package claims

import (
	"context"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// askAgain is the time after which members without a vote are asked again.
	askAgain = 50 * time.Millisecond
	// maxAnswers is above the number of members that can be asked at once.
	maxAnswers = 64
)

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
	Kind     Kind
	Claim    *Claim
	Response *clusterpb.KeptAnswer
	Refusal  *fault.Error
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
	r := newRound(s, a)
	v := r.decide(ctx)
	s.scope.Timer("decide").Record(s.now() - begun)
	if v.Granted {
		return Decision{Kind: Proceed, Claim: &Claim{service: s, attempt: a, begun: begun}}
	}
	s.report(a, a.Record(clusterpb.ClaimState_CLAIM_STATE_RELEASED), r.asked)
	if v.Answer != nil {
		return Decision{Kind: Replay, Response: v.Answer}
	}
	s.scope.Tagged(map[string]string{"kind": string(v.Refusal.Kind)}).Counter("refused").Inc(1)
	return Decision{Kind: Refuse, Refusal: v.Refusal}
}

// answer is what came back from a member.
type answer struct {
	from    string
	message *clusterpb.ClaimMessage
	err     error
}

// round collects the answers to one attempt.
type round struct {
	service *Service
	attempt *claim.Attempt
	answers chan answer
	// asked holds the members that may have stored the attempt.
	asked map[string]bool
	// waiting holds the members that have a message to answer.
	waiting map[string]bool
	// behind holds the members that have answered from an older epoch.
	behind map[string]bool
}

func newRound(s *Service, a *claim.Attempt) *round {
	return &round{
		service: s,
		attempt: a,
		answers: make(chan answer, maxAnswers),
		asked:   make(map[string]bool),
		waiting: make(map[string]bool),
		behind:  make(map[string]bool),
	}
}

func (r *round) decide(ctx context.Context) claim.Verdict {
	ctx, cancel := context.WithTimeout(ctx, r.service.opts.Timeout)
	defer cancel()
	again := time.NewTicker(askAgain)
	defer again.Stop()
	r.ask()
	for {
		select {
		case a := <-r.answers:
			r.receive(a)
		case <-again.C:
			r.ask()
		case <-ctx.Done():
			return r.attempt.Expired(r.service.timeline.Load())
		case <-r.service.stop:
			return r.attempt.Expired(r.service.timeline.Load())
		}
		if v, ok := r.attempt.Verdict(r.service.timeline.Load()); ok {
			return v
		}
	}
}

// ask sends the claim to the members whose vote is missing. Each has at most
// one message to answer.
func (r *round) ask() {
	for _, m := range r.attempt.Asks(r.service.timeline.Load()) {
		if r.waiting[m.To] {
			continue
		}
		r.asked[m.To] = true
		r.waiting[m.To] = true
		if r.behind[m.To] {
			m.ClaimEpoch = r.service.epoch.Load()
		}
		r.service.send(m, func(reply *clusterpb.ClaimMessage, err error) {
			r.deliver(answer{m.To, reply, err})
		})
	}
}

// deliver hands an answer to the goroutine of the round, which may have ended.
func (r *round) deliver(a answer) {
	select {
	case r.answers <- a:
	default:
	}
}

// receive takes in an answer. A member that has stored another attempt has not
// stored this one. When the epochs differ, the older side learns the newer
// epoch, and the member is asked again at once.
func (r *round) receive(a answer) {
	delete(r.waiting, a.from)
	if a.err != nil {
		return
	}
	r.attempt.Receive(a.message)
	if a.message.Record != nil {
		delete(r.asked, a.from)
	}
	own := r.service.timeline.Load().Epoch()
	switch {
	case a.message.ClaimEpoch != nil:
		r.service.learn(a.message.ClaimEpoch)
		r.ask()
	case a.message.Epoch < own && !r.behind[a.from]:
		r.behind[a.from] = true
		r.ask()
	}
}
