package claim

import (
	"fmt"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	worldParts       = 2
	worldRetention   = 10 * time.Minute
	worldStartWithin = time.Minute
	// worldFresh is how far behind a process may be that sends requests.
	worldFresh = staleMargin / 2
)

// process is one start of an entry VM.
type process struct {
	member   Member
	store    *Store
	timeline *Timeline
	started  time.Duration
	dead     bool
	calls    []*call
	number   uint64
}

// call is one attempt of a caller's request.
type call struct {
	owner   *process
	attempt *Attempt
	begun   time.Duration
	granted bool
	sent    bool
	ended   bool
}

// envelope is a message in flight; a reply travels back to the process that
// asked, never to its successor.
type envelope struct {
	message *clusterpb.ClaimMessage
	source  *process
	call    *call
	reply   bool
}

// world is a few entry VMs, their messages, and the oracle: when each key ran.
type world struct {
	now    time.Duration
	procs  []*process
	flight []envelope
	// held messages arrive late.
	held []envelope
	// cut is the set of VMs that no message reaches.
	cut       int
	epochs    []*catalogpb.ClaimEpoch
	changedAt []time.Duration
	runs      map[string][]time.Duration
	answers   map[string]bool
	rules     rules
	noStart   bool
	fault     string
}

func newWorld(vms int, r rules) *world {
	w := &world{runs: make(map[string][]time.Duration), answers: make(map[string]bool), rules: r}
	for i := range vms {
		w.procs = append(w.procs, w.boot(Member{ID: fmt.Sprintf("e%d", i), Incarnation: 1, Zone: fmt.Sprintf("z%d", i%3)}))
	}
	w.reconfigure(0)
	for i := range w.procs {
		w.learn(i, true)
	}
	return w
}

func (w *world) boot(m Member) *process {
	p := &process{member: m, started: w.now}
	p.store = NewStore(m, Limits{Retention: worldRetention, InProgressRetention: 2 * worldRetention, MaxClaims: 1000, MaxResponseBytes: 1000})
	p.store.rules = w.rules
	return p
}

// clock returns the time as the process sees it.
func (w *world) clock(p *process) time.Duration { return w.now - p.started }

// reconfigure makes the next epoch, without the VMs whose bits are in mask.
func (w *world) reconfigure(mask int) {
	var members []*catalogpb.ClaimMember
	for i, p := range w.procs {
		if mask&(1<<i) == 0 {
			members = append(members, &catalogpb.ClaimMember{Id: p.member.ID, Incarnation: p.member.Incarnation, Zone: p.member.Zone})
		}
	}
	var prev *catalogpb.ClaimEpoch
	if len(w.epochs) > 0 {
		prev = w.epochs[len(w.epochs)-1]
	}
	if next := NextEpoch(prev, members); next != prev {
		w.epochs = append(w.epochs, next)
		w.changedAt = append(w.changedAt, w.now)
	}
}

// learn gives a process the newest epoch, or the one after its own.
func (w *world) learn(i int, newest bool) {
	p := w.procs[i%len(w.procs)]
	k := len(w.epochs) - 1
	if !newest {
		k = min(k, int(p.timeline.Epoch()))
	}
	p.timeline = newTimeline(p.timeline, w.epochs[k], worldParts)
	p.store.Adopt(w.clock(p), p.timeline)
}

func (w *world) restart(i int) {
	i %= len(w.procs)
	old := w.procs[i]
	old.dead = true
	m := old.member
	m.Incarnation++
	w.procs[i] = w.boot(m)
}

func (w *world) begin(i int, key string, digest byte) {
	p := w.procs[i%len(w.procs)]
	if p.timeline == nil {
		return
	}
	p.number++
	c := &call{owner: p, begun: w.now, attempt: NewAttempt("booking", key, Digest{digest}, p.member.Name(), p.number)}
	c.attempt.rules = w.rules
	p.calls = append(p.calls, c)
	w.ask(c)
}

func (w *world) ask(c *call) {
	for _, m := range c.attempt.Asks(c.owner.timeline) {
		w.flight = append(w.flight, envelope{message: m, source: c.owner, call: c})
	}
}

// advance asks again, or takes the verdict on each undecided call of a VM.
func (w *world) advance(i int) {
	p := w.procs[i%len(w.procs)]
	for _, c := range p.calls {
		if c.granted || c.ended {
			continue
		}
		v, ok := c.attempt.Verdict(p.timeline)
		switch {
		case !ok:
			w.ask(c)
		case v.Granted:
			c.granted = true
		default:
			w.check(c, v)
			w.end(c, clusterpb.ClaimState_CLAIM_STATE_RELEASED)
		}
	}
	for _, m := range p.store.Pulls(w.clock(p)) {
		w.flight = append(w.flight, envelope{message: m, source: p})
	}
}

// check compares a replay or a conflict with the truth.
func (w *world) check(c *call, v Verdict) {
	switch {
	case v.Answer != nil && !w.answers[string(v.Answer.Body)]:
		w.fault = fmt.Sprintf("replay of an answer that was never given: %s", v.Answer.Body)
	case v.Answer != nil && string(v.Answer.Body[:2]) != c.attempt.Key:
		w.fault = fmt.Sprintf("%s got the answer %s", c.attempt.Key, v.Answer.Body)
	case v.Refusal != nil && v.Refusal.Kind == fault.AlreadyRan && len(w.runs[c.attempt.Key]) == 0:
		w.fault = fmt.Sprintf("%s never ran", c.attempt.Key)
	}
}

// send runs the request of a granted call at an upstream.
func (w *world) send(c *call) {
	if !c.granted || c.sent || c.ended || c.owner.dead {
		return
	}
	if !w.noStart && (w.now-c.begun > worldStartWithin || !w.fresh(c.owner)) {
		w.end(c, clusterpb.ClaimState_CLAIM_STATE_RELEASED)
		return
	}
	c.sent = true
	for _, at := range w.runs[c.attempt.Key] {
		if w.now-at < worldRetention-worldStartWithin {
			w.fault = fmt.Sprintf("%s ran at %v and %v", c.attempt.Key, at, w.now)
		}
	}
	w.runs[c.attempt.Key] = append(w.runs[c.attempt.Key], w.now)
}

func (w *world) fresh(p *process) bool {
	next := int(p.timeline.Epoch())
	return next >= len(w.epochs) || w.now-w.changedAt[next] < worldFresh
}

// finish ends a call: sent ones with an answer or as unknown, others released.
func (w *world) finish(c *call, known bool) {
	switch {
	case c.ended || !c.granted || c.owner.dead:
	case !c.sent:
		w.end(c, clusterpb.ClaimState_CLAIM_STATE_RELEASED)
	case known:
		w.end(c, clusterpb.ClaimState_CLAIM_STATE_FINISHED)
	default:
		w.end(c, clusterpb.ClaimState_CLAIM_STATE_UNKNOWN)
	}
}

func (w *world) end(c *call, state clusterpb.ClaimState) {
	c.ended = true
	r := c.attempt.Record(state)
	if state == clusterpb.ClaimState_CLAIM_STATE_FINISHED {
		body := fmt.Sprintf("%s by %s", c.attempt.Key, c.owner.member.Name())
		w.answers[body] = true
		r.Answer = &clusterpb.KeptAnswer{Status: 200, Body: []byte(body)}
	}
	for _, m := range c.attempt.Group(c.owner.timeline) {
		w.flight = append(w.flight, envelope{source: c.owner, message: &clusterpb.ClaimMessage{
			Kind: clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_UPDATE, From: c.owner.member.ID, To: m.ID, Record: r,
		}})
	}
}

// deliver hands over the message at an index; keep leaves a copy in flight.
func (w *world) deliver(i int, keep bool) {
	if len(w.flight) == 0 {
		return
	}
	i %= len(w.flight)
	e := w.flight[i]
	if !keep {
		w.flight = append(w.flight[:i:i], w.flight[i+1:]...)
	}
	if e.reply {
		w.receive(e)
		return
	}
	for i, p := range w.procs {
		if p.member.ID != e.message.To || w.cut&(1<<i) != 0 {
			continue
		}
		if r := p.store.Handle(w.clock(p), e.message); r != nil {
			w.flight = append(w.flight, envelope{message: r, source: e.source, call: e.call, reply: true})
		}
	}
}

func (w *world) receive(e envelope) {
	switch {
	case e.source.dead:
	case e.call != nil:
		e.call.attempt.Receive(e.message)
	case e.message.Kind == clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_SYNC_REPLY:
		e.source.store.Handle(w.clock(e.source), e.message)
	}
}

func (w *world) tick(d time.Duration) {
	w.now += d
	for _, p := range w.procs {
		p.store.Expire(w.clock(p))
	}
}
