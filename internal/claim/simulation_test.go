package claim

import (
	"fmt"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	simPartitions = 2
	simRetention  = 10 * time.Minute
	// simMaxStartDelay is how long after its start a call may send its request.
	simMaxStartDelay = time.Minute
	// simMaxConfigLag is how long a process may send requests after an epoch that
	// it does not know has started.
	simMaxConfigLag = lateGrantMargin / 2
)

// process is one run of an entry VM process.
type process struct {
	member      Member
	store       *Store
	history     *PlacementHistory
	started     time.Duration
	stopped     bool
	calls       []*call
	lastAttempt uint64
}

// call is one attempt at a caller's request.
type call struct {
	owner     *process
	attempt   *Attempt
	startedAt time.Duration
	granted   bool
	sent      bool
	ended     bool
}

// envelope is a message in flight. A reply goes back to the process that sent the
// request, never to a later incarnation of the VM.
type envelope struct {
	message *clusterpb.ClaimMessage
	source  *process
	call    *call
	reply   bool
}

// simulation runs a few entry VMs with simulated time and messages, and checks
// when requests were sent and which responses were replayed.
type simulation struct {
	now      time.Duration
	procs    []*process
	inFlight []envelope
	// delayed holds messages that are withheld until they are resumed.
	delayed []envelope
	// unreachableVMs is a bit set of the VMs that no request reaches.
	unreachableVMs int
	epochs         []*catalogpb.ClaimEpoch
	epochStarts    []time.Duration
	// sentAt holds the times at which a request was sent, by key.
	sentAt map[string][]time.Duration
	// responses holds the bodies of all responses given.
	responses      map[string]bool
	disabled       disabledRules
	skipStartCheck bool
	// violation describes a broken guarantee, or is empty.
	violation string
}

func newSimulation(vms int, disabled disabledRules) *simulation {
	sim := &simulation{sentAt: make(map[string][]time.Duration), responses: make(map[string]bool), disabled: disabled}
	for i := range vms {
		sim.procs = append(sim.procs, sim.newProcess(Member{ID: fmt.Sprintf("e%d", i), Incarnation: 1, Zone: fmt.Sprintf("z%d", i%3)}))
	}
	sim.reconfigure(0)
	for i := range sim.procs {
		sim.applyEpoch(i, true)
	}
	return sim
}

func (sim *simulation) newProcess(m Member) *process {
	p := &process{member: m, started: sim.now}
	p.store = NewStore(m, Limits{Retention: simRetention, InProgressRetention: 2 * simRetention, MaxClaims: 1000, MaxResponseBytes: 1000})
	p.store.disabled = sim.disabled
	return p
}

// clock returns the monotonic time of the process.
func (sim *simulation) clock(p *process) time.Duration { return sim.now - p.started }

// reconfigure starts the next epoch, without the VMs whose bits are set in mask.
func (sim *simulation) reconfigure(mask int) {
	var members []*catalogpb.ClaimMember
	for i, p := range sim.procs {
		if mask&(1<<i) == 0 {
			members = append(members, &catalogpb.ClaimMember{Id: p.member.ID, Incarnation: p.member.Incarnation, Zone: p.member.Zone})
		}
	}
	var prev *catalogpb.ClaimEpoch
	if len(sim.epochs) > 0 {
		prev = sim.epochs[len(sim.epochs)-1]
	}
	if next := NextEpoch(prev, members); next != prev {
		sim.epochs = append(sim.epochs, next)
		sim.epochStarts = append(sim.epochStarts, sim.now)
	}
}

// applyEpoch moves a process to the newest epoch, or to the one after its own.
func (sim *simulation) applyEpoch(i int, newest bool) {
	p := sim.procs[i%len(sim.procs)]
	k := len(sim.epochs) - 1
	if !newest {
		k = min(k, int(p.history.Epoch()))
	}
	p.history = newPlacementHistory(p.history, sim.epochs[k], simPartitions)
	p.store.UpdateHistory(sim.clock(p), p.history)
}

// restart replaces a process by one with the next incarnation and no records.
func (sim *simulation) restart(i int) {
	i %= len(sim.procs)
	old := sim.procs[i]
	old.stopped = true
	m := old.member
	m.Incarnation++
	sim.procs[i] = sim.newProcess(m)
}

// begin starts a call at a VM, unless the VM has no configuration yet.
func (sim *simulation) begin(i int, key string, digest byte) {
	p := sim.procs[i%len(sim.procs)]
	if p.history == nil {
		return
	}
	p.lastAttempt++
	c := &call{owner: p, startedAt: sim.now, attempt: NewAttempt("booking", key, Digest{digest}, p.member.Name(), p.lastAttempt)}
	c.attempt.disabled = sim.disabled
	p.calls = append(p.calls, c)
	sim.sendClaims(c)
}

func (sim *simulation) sendClaims(c *call) {
	for _, m := range c.attempt.ClaimRequests(c.owner.history) {
		sim.inFlight = append(sim.inFlight, envelope{message: m, source: c.owner, call: c})
	}
}

// pollCalls applies the result of each undecided call of a VM, or sends its claim
// again if there is none yet. It also sends the sync requests that are due.
func (sim *simulation) pollCalls(i int) {
	p := sim.procs[i%len(sim.procs)]
	for _, c := range p.calls {
		if c.granted || c.ended {
			continue
		}
		result, ok := c.attempt.Result(p.history)
		switch {
		case !ok:
			sim.sendClaims(c)
		case result.Granted:
			c.granted = true
		default:
			sim.checkResult(c, result)
			sim.end(c, clusterpb.ClaimState_CLAIM_STATE_RELEASED)
		}
	}
	for _, m := range p.store.SyncRequests(sim.clock(p)) {
		sim.inFlight = append(sim.inFlight, envelope{message: m, source: p})
	}
}

// checkResult checks that a replayed response was given for the key, and that a
// key that is said to have run was sent.
func (sim *simulation) checkResult(c *call, result Result) {
	switch {
	case result.Response != nil && !sim.responses[string(result.Response.Body)]:
		sim.violation = fmt.Sprintf("replayed response was never given: %s", result.Response.Body)
	case result.Response != nil && string(result.Response.Body[:2]) != c.attempt.Key:
		sim.violation = fmt.Sprintf("key %s got the response %q", c.attempt.Key, result.Response.Body)
	case result.Refusal != nil && result.Refusal.Kind == fault.AlreadyRan && len(sim.sentAt[c.attempt.Key]) == 0:
		sim.violation = fmt.Sprintf("key %s is reported as run but was never sent", c.attempt.Key)
	}
}

// send sends the request of a granted call to an upstream. If the claim is too
// old or the configuration is stale, it releases the claim instead.
func (sim *simulation) send(c *call) {
	if !c.granted || c.sent || c.ended || c.owner.stopped {
		return
	}
	if !sim.skipStartCheck && (sim.now-c.startedAt > simMaxStartDelay || !sim.configFresh(c.owner)) {
		sim.end(c, clusterpb.ClaimState_CLAIM_STATE_RELEASED)
		return
	}
	c.sent = true
	for _, at := range sim.sentAt[c.attempt.Key] {
		if sim.now-at < simRetention-simMaxStartDelay {
			sim.violation = fmt.Sprintf("key %s was sent at %v and again at %v", c.attempt.Key, at, sim.now)
		}
	}
	sim.sentAt[c.attempt.Key] = append(sim.sentAt[c.attempt.Key], sim.now)
}

// configFresh reports whether the process knows all epochs that started more than
// simMaxConfigLag ago.
func (sim *simulation) configFresh(p *process) bool {
	next := int(p.history.Epoch())
	return next >= len(sim.epochs) || sim.now-sim.epochStarts[next] < simMaxConfigLag
}

// finish ends a granted call: as released if it was not sent, else as finished or,
// without a response, as unknown.
func (sim *simulation) finish(c *call, responded bool) {
	switch {
	case c.ended || !c.granted || c.owner.stopped:
	case !c.sent:
		sim.end(c, clusterpb.ClaimState_CLAIM_STATE_RELEASED)
	case responded:
		sim.end(c, clusterpb.ClaimState_CLAIM_STATE_FINISHED)
	default:
		sim.end(c, clusterpb.ClaimState_CLAIM_STATE_UNKNOWN)
	}
}

// end reports the final state of a call to the current group.
func (sim *simulation) end(c *call, state clusterpb.ClaimState) {
	c.ended = true
	r := c.attempt.Record(state)
	if state == clusterpb.ClaimState_CLAIM_STATE_FINISHED {
		body := fmt.Sprintf("%s by %s", c.attempt.Key, c.owner.member.Name())
		sim.responses[body] = true
		r.Answer = &clusterpb.KeptAnswer{Status: 200, Body: []byte(body)}
	}
	for _, m := range c.attempt.Group(c.owner.history) {
		sim.inFlight = append(sim.inFlight, envelope{source: c.owner, message: &clusterpb.ClaimMessage{
			Kind: clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_UPDATE, From: c.owner.member.ID, To: m.ID, Record: r,
		}})
	}
}

// deliver delivers the message at an index. With duplicate, a copy stays in flight.
func (sim *simulation) deliver(i int, duplicate bool) {
	if len(sim.inFlight) == 0 {
		return
	}
	i %= len(sim.inFlight)
	e := sim.inFlight[i]
	if !duplicate {
		sim.inFlight = append(sim.inFlight[:i:i], sim.inFlight[i+1:]...)
	}
	if e.reply {
		sim.deliverReply(e)
		return
	}
	for i, p := range sim.procs {
		if p.member.ID != e.message.To || sim.unreachableVMs&(1<<i) != 0 {
			continue
		}
		if r := p.store.Handle(sim.clock(p), e.message); r != nil {
			sim.inFlight = append(sim.inFlight, envelope{message: r, source: e.source, call: e.call, reply: true})
		}
	}
}

func (sim *simulation) deliverReply(e envelope) {
	switch {
	case e.source.stopped:
	case e.call != nil:
		e.call.attempt.AddReply(e.message)
	case e.message.Kind == clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_SYNC_REPLY:
		e.source.store.Handle(sim.clock(e.source), e.message)
	}
}

func (sim *simulation) advanceTime(d time.Duration) {
	sim.now += d
	for _, p := range sim.procs {
		p.store.Expire(sim.clock(p))
	}
}
