package claim

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// claimRetryDelay is the shortest retry delay given to callers when a claim
// could not be decided.
const claimRetryDelay = 500 * time.Millisecond

// Attempt is the coordinator's side of the protocol for one attempt at a key: it
// creates the claim messages to the group of the key and counts the replies. It
// is not safe for concurrent use.
type Attempt struct {
	Service string
	Key     string
	Digest  Digest
	// Owner is the ProcessName of the entry VM that would send the request.
	Owner string
	// Number identifies the attempt among those of the owner.
	Number uint64
	// Draining reports whether the process with the given ProcessName, which is
	// no longer a member, is still completing its requests. nil means none is.
	Draining func(process string) bool

	// replies holds the last reply of each member, by entry VM ID.
	replies  map[string]*clusterpb.ClaimMessage
	disabled disabledRules
}

// Result is the decision of the group on an attempt. Exactly one field is set.
type Result struct {
	// Granted is set if the attempt owns the key and may send the request.
	Granted bool
	// Response is the stored response of an earlier attempt.
	Response *clusterpb.KeptAnswer
	// Refusal says why the request must not be sent.
	Refusal *fault.Error
}

// NewAttempt returns an attempt without replies. owner is the ProcessName of the
// coordinator, and number identifies the attempt among those of the owner.
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

// Record returns a record of the attempt in the given state.
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

// Group returns the current group of the key.
func (a *Attempt) Group(h *PlacementHistory) Group { return a.currentInterval(h).Group }

func (a *Attempt) currentInterval(h *PlacementHistory) Interval {
	return h.Current(h.partitionOf(scopedKey{a.Service, a.Key}))
}

// ClaimRequests returns a claim message for each member that has neither voted
// for the attempt nor reported a competing one.
func (a *Attempt) ClaimRequests(h *PlacementHistory) []*clusterpb.ClaimMessage {
	interval := a.currentInterval(h)
	var out []*clusterpb.ClaimMessage
	for _, m := range interval.Group {
		if r := a.replyFrom(m); r != nil && (a.countsAsVote(h, interval, r) || r.Record != nil) {
			continue
		}
		out = append(out, &clusterpb.ClaimMessage{
			Kind:   clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_CLAIM,
			From:   a.Owner,
			To:     m.ID,
			Epoch:  h.Epoch(),
			Record: a.Record(clusterpb.ClaimState_CLAIM_STATE_CLAIMED),
		})
	}
	return out
}

// AddReply records the reply of a member, replacing any earlier one.
func (a *Attempt) AddReply(m *clusterpb.ClaimMessage) { a.replies[m.From] = m }

// replyFrom returns the reply of the member, or nil. Replies of an earlier or
// later incarnation of the entry VM are ignored.
func (a *Attempt) replyFrom(m Member) *clusterpb.ClaimMessage {
	r := a.replies[m.ID]
	if r == nil || r.Incarnation != m.Incarnation {
		return nil
	}
	return r
}

// countsAsVote reports whether r is a vote in the given interval. A vote given at
// another epoch counts if the interval contains that epoch. A vote at an epoch
// newer than h counts as well: the member has checked that its current interval
// contains the epoch of the claim message.
func (a *Attempt) countsAsVote(h *PlacementHistory, interval Interval, r *clusterpb.ClaimMessage) bool {
	if !r.Granted {
		return false
	}
	return interval.contains(r.Epoch) || r.Epoch > h.Epoch() || a.disabled.votesOfOneInterval
}

// voteCount sums up the replies to an attempt.
type voteCount struct {
	group Group
	votes int
	// competitors counts the members that store a competing attempt.
	competitors int
	// fullMembers counts the members that hold their maximum of records.
	fullMembers int
	// longUnsynced counts the members that need more than expectedSyncTime to
	// sync the partition.
	longUnsynced int
	// wait is the longest time until a member expects to have synced.
	wait time.Duration
	// competitor is the reported competing record with the highest stateRank.
	competitor *clusterpb.ClaimRecord
}

func (a *Attempt) countReplies(h *PlacementHistory) voteCount {
	interval := a.currentInterval(h)
	c := voteCount{group: interval.Group}
	for _, m := range interval.Group {
		r := a.replyFrom(m)
		if r == nil {
			continue
		}
		c.add(r, a.countsAsVote(h, interval, r))
	}
	return c
}

func (c *voteCount) add(r *clusterpb.ClaimMessage, vote bool) {
	switch {
	case vote:
		c.votes++
	case r.Record != nil:
		c.competitors++
		if c.competitor == nil || stateRank(r.Record.State) > stateRank(c.competitor.State) {
			c.competitor = r.Record
		}
	case r.Refusal == refusalFull:
		c.fullMembers++
	case r.Refusal == refusalUnsynced:
		c.addUnsynced(time.Duration(r.RetryAfterMs) * time.Millisecond)
	}
}

func (c *voteCount) addUnsynced(wait time.Duration) {
	c.wait = max(c.wait, wait)
	if wait > expectedSyncTime {
		c.longUnsynced++
	}
}

// quorumReachable reports whether a quorum is possible without the given number
// of members.
func (c *voteCount) quorumReachable(nonVoters int) bool {
	return len(c.group)-nonVoters >= c.group.Quorum()
}

// Result returns the decision of the group, and whether the replies suffice for
// one.
func (a *Attempt) Result(h *PlacementHistory) (Result, bool) {
	c := a.countReplies(h)
	switch {
	case c.competitor != nil && !stateInProgress(c.competitor.State):
		return a.competitorResult(h, c.competitor), true
	case c.votes >= c.group.Quorum():
		return Result{Granted: true}, true
	case c.competitor != nil && !c.quorumReachable(c.competitors):
		return a.competitorResult(h, c.competitor), true
	case !c.quorumReachable(c.fullMembers):
		return Result{Refusal: fault.New(fault.ClaimsFull, "%d of %d members store their maximum of claims", c.fullMembers, len(c.group))}, true
	case c.competitor == nil && !c.quorumReachable(c.longUnsynced):
		return a.unavailableResult(c), true
	default:
		return Result{}, false
	}
}

// ResultAtTimeout returns the decision if no more replies are expected. Without a
// quorum it is a refusal.
func (a *Attempt) ResultAtTimeout(h *PlacementHistory) Result {
	if result, ok := a.Result(h); ok {
		return result
	}
	c := a.countReplies(h)
	if c.competitor != nil {
		return a.competitorResult(h, c.competitor)
	}
	return a.unavailableResult(c)
}

func (a *Attempt) unavailableResult(c voteCount) Result {
	wait := max(c.wait, claimRetryDelay)
	return Result{Refusal: fault.NewRetryable(fault.ClaimsUnavailable, wait, "claim has the votes of %d of %d members, %d needed", c.votes, len(c.group), c.group.Quorum())}
}

func stateInProgress(s clusterpb.ClaimState) bool {
	return s == clusterpb.ClaimState_CLAIM_STATE_CLAIMED || s == clusterpb.ClaimState_CLAIM_STATE_RUNNING
}

// competitorResult returns the decision on an attempt whose key is held by the
// attempt of record r.
func (a *Attempt) competitorResult(h *PlacementHistory, r *clusterpb.ClaimRecord) Result {
	if string(r.Digest) != string(a.Digest[:]) {
		return Result{Refusal: fault.New(fault.KeyConflict, "stored claim of the key in service %s has another request digest", a.Service)}
	}
	switch r.State {
	case clusterpb.ClaimState_CLAIM_STATE_FINISHED:
		if r.Answer == nil || r.Answer.Truncated {
			return Result{Refusal: fault.New(fault.AlreadyRan, "")}
		}
		return Result{Response: r.Answer}
	case clusterpb.ClaimState_CLAIM_STATE_UNKNOWN:
		return Result{Refusal: fault.New(fault.OutcomeUnknown, "earlier attempt at the request ended without a response")}
	}
	if !h.IsMember(r.Owner) && (a.Draining == nil || !a.Draining(r.Owner)) {
		return Result{Refusal: fault.New(fault.OutcomeUnknown, "entry VM process %s stopped or was removed during its attempt", r.Owner)}
	}
	return Result{Refusal: fault.New(fault.StillRunning, "")}
}
