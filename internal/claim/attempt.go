package claim

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// retryClaim is when to come back after a claim that could not be decided.
const retryClaim = 500 * time.Millisecond

// Attempt asks the group of a key for a claim. It is the coordinator's half of
// the protocol, and is not safe for concurrent use.
type Attempt struct {
	Service string
	Key     string
	Digest  Digest
	// Owner is the name of the process that would send the request.
	Owner string
	// Number is unique among the attempts of the owner.
	Number uint64
	// Alive reports whether a process that is not among the members may still
	// be running its requests; nil means that none is.
	Alive func(process string) bool

	replies map[string]*clusterpb.ClaimMessage
	rules   rules
}

// Verdict is what the group decided on an attempt.
type Verdict struct {
	// Granted is set when the attempt owns the key and the request may be sent.
	Granted bool
	// Answer is the kept answer of an earlier attempt.
	Answer *clusterpb.KeptAnswer
	// Refusal is set when neither of the above is.
	Refusal *fault.Error
}

// NewAttempt returns an attempt that has asked nobody yet.
func NewAttempt(service, key string, digest Digest, owner string, number uint64) *Attempt {
	return &Attempt{
		Service: service,
		Key:     key,
		Digest:  digest,
		Owner:   owner,
		Number:  number,
		replies: make(map[string]*clusterpb.ClaimMessage),
	}
}

// Record returns the record of the attempt in the given state.
func (a *Attempt) Record(state clusterpb.ClaimState) *clusterpb.ClaimRecord {
	return &clusterpb.ClaimRecord{
		Service: a.Service,
		Key:     a.Key,
		Digest:  a.Digest[:],
		Owner:   a.Owner,
		Attempt: a.Number,
		State:   state,
	}
}

// Group returns the members that decide on the attempt now.
func (a *Attempt) Group(t *Timeline) Group { return a.era(t).Group }

func (a *Attempt) era(t *Timeline) Era {
	return t.Current(t.partitionOf(keyID{a.Service, a.Key}))
}

// Asks returns a claim message for each member whose vote is still missing.
func (a *Attempt) Asks(t *Timeline) []*clusterpb.ClaimMessage {
	era := a.era(t)
	var out []*clusterpb.ClaimMessage
	for _, m := range era.Group {
		if r := a.reply(m); r != nil && (a.voted(t, era, r) || r.Record != nil) {
			continue
		}
		out = append(out, &clusterpb.ClaimMessage{
			Kind:   clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_CLAIM,
			From:   a.Owner,
			To:     m.ID,
			Epoch:  t.Epoch(),
			Record: a.Record(clusterpb.ClaimState_CLAIM_STATE_CLAIMED),
		})
	}
	return out
}

// Receive takes in the answer of a member.
func (a *Attempt) Receive(m *clusterpb.ClaimMessage) { a.replies[m.From] = m }

// reply returns the answer of that very process, or nil.
func (a *Attempt) reply(m Member) *clusterpb.ClaimMessage {
	r := a.replies[m.ID]
	if r == nil || r.Incarnation != m.Incarnation {
		return nil
	}
	return r
}

// voted reports whether the answer is a vote in the given era. A vote that was
// given at an older or newer epoch counts if the era contains that epoch.
func (a *Attempt) voted(t *Timeline, era Era, r *clusterpb.ClaimMessage) bool {
	if !r.Granted {
		return false
	}
	return era.contains(r.Epoch) || r.Epoch > t.Epoch() || a.rules.voteInOldEra
}

// tally is a count of the answers to an attempt.
type tally struct {
	group  Group
	votes  int
	rivals int
	full   int
	// blocked counts members that stay uncovered for a while.
	blocked int
	wait    time.Duration
	rival   *clusterpb.ClaimRecord
}

func (a *Attempt) count(t *Timeline) tally {
	era := a.era(t)
	c := tally{group: era.Group}
	for _, m := range era.Group {
		r := a.reply(m)
		if r == nil {
			continue
		}
		c.add(r, a.voted(t, era, r))
	}
	return c
}

func (c *tally) add(r *clusterpb.ClaimMessage, vote bool) {
	switch {
	case vote:
		c.votes++
	case r.Record != nil:
		c.rivals++
		if c.rival == nil || rank(r.Record.State) > rank(c.rival.State) {
			c.rival = r.Record
		}
	case r.Refusal == refusalFull:
		c.full++
	case r.Refusal == refusalUncovered:
		c.addUncovered(time.Duration(r.RetryAfterMs) * time.Millisecond)
	}
}

func (c *tally) addUncovered(wait time.Duration) {
	c.wait = max(c.wait, wait)
	if wait > syncSoon {
		c.blocked++
	}
}

// possible reports whether a quorum can still come together when the given
// number of members will not vote.
func (c *tally) possible(without int) bool { return len(c.group)-without >= c.group.Quorum() }

// Verdict returns the decision once the answers suffice for one.
func (a *Attempt) Verdict(t *Timeline) (Verdict, bool) {
	c := a.count(t)
	switch {
	case c.rival != nil && !isOpen(c.rival.State):
		return a.lost(t, c.rival), true
	case c.votes >= c.group.Quorum():
		return Verdict{Granted: true}, true
	case c.rival != nil && !c.possible(c.rivals):
		return a.lost(t, c.rival), true
	case !c.possible(c.full):
		return Verdict{Refusal: fault.New(fault.ClaimsFull, "%d of %d members are full", c.full, len(c.group))}, true
	case c.rival == nil && !c.possible(c.blocked):
		return a.unavailable(c), true
	default:
		return Verdict{}, false
	}
}

// Expired returns the decision when no more answers are waited for.
func (a *Attempt) Expired(t *Timeline) Verdict {
	if v, ok := a.Verdict(t); ok {
		return v
	}
	c := a.count(t)
	if c.rival != nil {
		return a.lost(t, c.rival)
	}
	return a.unavailable(c)
}

func (a *Attempt) unavailable(c tally) Verdict {
	wait := max(c.wait, retryClaim)
	return Verdict{Refusal: fault.After(fault.ClaimsUnavailable, wait, "%d of %d members voted", c.votes, len(c.group))}
}

func isOpen(s clusterpb.ClaimState) bool {
	return s == clusterpb.ClaimState_CLAIM_STATE_CLAIMED || s == clusterpb.ClaimState_CLAIM_STATE_RUNNING
}

// lost returns the answer to an attempt at a key that another attempt holds.
func (a *Attempt) lost(t *Timeline, r *clusterpb.ClaimRecord) Verdict {
	if string(r.Digest) != string(a.Digest[:]) {
		return Verdict{Refusal: fault.New(fault.KeyConflict, "service %s", a.Service)}
	}
	switch r.State {
	case clusterpb.ClaimState_CLAIM_STATE_FINISHED:
		if r.Answer == nil || r.Answer.Truncated {
			return Verdict{Refusal: fault.New(fault.AlreadyRan, "")}
		}
		return Verdict{Answer: r.Answer}
	case clusterpb.ClaimState_CLAIM_STATE_UNKNOWN:
		return Verdict{Refusal: fault.New(fault.OutcomeUnknown, "the first attempt ended without an answer")}
	}
	if !t.Alive(r.Owner) && (a.Alive == nil || !a.Alive(r.Owner)) {
		return Verdict{Refusal: fault.New(fault.OutcomeUnknown, "entry VM %s was lost with the request", r.Owner)}
	}
	return Verdict{Refusal: fault.New(fault.StillRunning, "")}
}
