package permit

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"balsamcourse.example/balsamcourse/internal/freshness"
)

// simulation models entry VMs, control leaders and one upstream whose permits
// the entry VMs issue. Its oracle checks that at no time two entry VMs issue
// permits for the upstream, and that the permits together stay within its rate.
type simulation struct {
	now       time.Duration
	perSecond float64
	disabled  disabledRules
	// extra is that of the Issuers.
	extra time.Duration
	vms   []*vm
	// leaders holds the leader and those that have lost their quorum since.
	leaders []*leader
	// config is the newest committed configuration.
	config *registrations
	// grants holds the times of the units that were issued.
	grants []time.Duration
	// issuing is the total time in which some entry VM issued permits.
	issuing time.Duration
}

// key is the key of the permits for the upstream.
var key = Key{upstreamID, RateLimit}

const (
	upstreamID = "u"
	// maxStep is the longest step of the simulation.
	maxStep = 250 * time.Millisecond
)

// vm is an entry VM. Its clock differs from that of the simulation by an offset
// and a rate.
type vm struct {
	id      string
	issuer  *Issuer
	down    bool
	leaving bool
	// clockOffset and clockPermille define its clock.
	clockOffset   time.Duration
	clockPermille time.Duration
	renewal       *renewal
	// firstLeader is the leader that granted the first lease of this process.
	firstLeader *leader
	// start is the number of its start, revision that of the configuration that it has.
	start, revision int
}

// registrations is a configuration: the starts of the registered entry VMs by ID.
type registrations struct {
	revision int
	starts   map[string]int
}

func (v *vm) clock(now time.Duration) time.Duration {
	return v.clockOffset + now + now*v.clockPermille/1000
}

// renewal is a request for a lease in flight.
type renewal struct {
	sent    time.Duration // on the clock of the entry VM
	leader  *leader
	granted bool
	live    []string
	// config is the configuration of the leader.
	config *registrations
	// allRestarted is set if the leader says so.
	allRestarted bool
	// answered is set when the leader has answered.
	answered bool
}

// leader is a control VM that leads, or has led until it lost its quorum.
type leader struct {
	// since is the begin of its term, quorumAt the time of its last heartbeat round
	// that a quorum answered.
	since, quorumAt time.Duration
	reports         map[string]time.Duration
	unreachable     map[string]bool
	// own holds the entry VMs that have said that their first lease was from this
	// leader and that they have its configuration; mixed is set if that cannot hold for
	// all, or one was not live.
	own    map[string]bool
	mixed  bool
	config *registrations
}

func newSimulation(t *rapid.T, disabled disabledRules) *simulation {
	s := &simulation{perSecond: rapid.SampledFrom([]float64{0.5, 1.4, 8, 40}).Draw(t, "perSecond"), disabled: disabled, extra: rapid.SampledFrom([]time.Duration{0, 5 * time.Second}).Draw(t, "extra")}
	for i := range rapid.IntRange(2, 4).Draw(t, "vms") {
		v := &vm{
			id:            fmt.Sprint("g", i),
			clockOffset:   time.Duration(i) * time.Minute,
			clockPermille: time.Duration(rapid.IntRange(-freshness.MaxDriftPermille/2, freshness.MaxDriftPermille/2).Draw(t, "drift")),
		}
		s.vms = append(s.vms, v)
		s.start(v)
	}
	s.config = &registrations{starts: make(map[string]int)}
	s.elect()
	return s
}

func (s *simulation) start(v *vm) {
	v.issuer = NewPatientIssuer(v.id, s.extra)
	v.issuer.disabled = s.disabled
	v.down, v.leaving, v.renewal, v.firstLeader, v.revision = false, false, nil, nil, 0
	v.start++
}

// elect replaces the leader: the old one loses its quorum now.
func (s *simulation) elect() {
	s.leaders = append(s.leaders, &leader{since: s.now, quorumAt: s.now, reports: make(map[string]time.Duration), unreachable: make(map[string]bool), own: make(map[string]bool), config: s.config})
}

// register registers the present start of the entry VM at the leader.
func (s *simulation) register(v *vm) {
	next := &registrations{revision: s.config.revision + 1, starts: maps.Clone(s.config.starts)}
	next.starts[v.id] = v.start
	l := s.current()
	s.config, l.config = next, next
	clear(l.own)
}

func (s *simulation) current() *leader { return s.leaders[len(s.leaders)-1] }

// live returns the entry VMs that the leader reports as live.
func (s *simulation) live(l *leader) []string {
	var ids []string
	for _, v := range s.vms {
		if l.config.starts[v.id] == 0 {
			continue
		}
		if _, announced := l.reports[v.id+" leaving"]; announced {
			continue
		}
		if s.now-max(l.since, l.reports[v.id]) <= freshness.LiveTimeout {
			ids = append(ids, v.id)
		}
	}
	return ids
}

// sendRenewal sends a request for a lease, which the leader receives at once.
func (s *simulation) sendRenewal(v *vm, l *leader) {
	if v.down || l.unreachable[v.id] {
		return
	}
	v.renewal = &renewal{sent: v.clock(s.now), leader: l}
	l.reports[v.id] = s.now
	if l.config.starts[v.id] != v.start && l == s.current() {
		s.register(v)
	}
	switch v.firstLeader {
	case l:
		if v.revision == l.config.revision {
			l.own[v.id] = true
		}
	case nil:
	default:
		l.mixed = true
	}
	if v.leaving {
		l.reports[v.id+" leaving"] = s.now
	} else {
		delete(l.reports, v.id+" leaving")
	}
}

// answerRenewal lets the leader answer the request in flight.
func (s *simulation) answerRenewal(v *vm) {
	r := v.renewal
	if r == nil || r.answered || r.leader.unreachable[v.id] {
		return
	}
	r.answered = true
	r.live = s.live(r.leader)
	r.config = r.leader.config
	registered := len(r.config.starts)
	r.leader.mixed = r.leader.mixed || len(r.live) < registered
	r.allRestarted = s.disabled.restarted || !r.leader.mixed && len(r.leader.own) == registered
	r.granted = r.config.starts[v.id] == v.start && s.now-r.leader.quorumAt <= freshness.MaxQuorumAge
}

// deliverAnswer delivers the answer of the leader to the entry VM.
func (s *simulation) deliverAnswer(v *vm) {
	r := v.renewal
	if r == nil || !r.answered || v.down {
		return
	}
	v.renewal = nil
	if !r.granted || r.config.revision < v.revision {
		return
	}
	v.revision = r.config.revision
	now := v.clock(s.now)
	v.issuer.SetLive(now, r.live)
	v.issuer.RecordLease(now, r.sent)
	if v.firstLeader == nil {
		v.firstLeader = r.leader
	}
	if r.allRestarted {
		v.issuer.RecordAllRestarted(now)
	}
}

// step advances the time and carries out one random action.
func (s *simulation) step(t *rapid.T) string {
	elapsed := time.Duration(rapid.IntRange(0, int(maxStep/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
	s.now += elapsed
	s.current().quorumAt = s.now
	v := s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(t, "vm")]
	l := s.leaders[max(0, len(s.leaders)-1-rapid.IntRange(0, 1).Draw(t, "leader"))]
	switch action := rapid.IntRange(0, 35).Draw(t, "action"); {
	case action < 12:
		s.renewAll(t)
	case action < 16:
		s.sendRenewal(v, l)
	case action < 20:
		s.answerRenewal(v)
	case action < 24:
		s.deliverAnswer(v)
	case action < 30:
		s.take(v)
	case action < 32:
		l.unreachable[v.id] = !l.unreachable[v.id]
	case action == 32:
		s.elect()
	case action == 33 && v.down:
		s.start(v)
	case action == 33:
		v.down, v.renewal = true, nil
	case action == 34 && !v.down:
		v.leaving = true
		v.issuer.SetLeaving()
	}
	return s.check(elapsed)
}

// renewAll completes a renewal of each entry VM that reaches the leader, as in a
// calm second.
func (s *simulation) renewAll(t *rapid.T) {
	skipped := rapid.IntRange(0, 2*len(s.vms)).Draw(t, "skipped")
	for i, v := range s.vms {
		if i == skipped {
			continue
		}
		s.sendRenewal(v, s.current())
		if v.renewal != nil && v.renewal.leader == s.current() {
			s.answerRenewal(v)
			s.deliverAnswer(v)
		}
	}
}

// take asks an entry VM for a permit of one unit.
func (s *simulation) take(v *vm) {
	if !v.down && v.issuer.Take(v.clock(s.now), key, s.perSecond, 1).Granted {
		s.grants = append(s.grants, s.now)
	}
}

// check returns the violation at this time, or "".
func (s *simulation) check(elapsed time.Duration) string {
	var issuers []string
	for _, v := range s.vms {
		if v.down {
			continue
		}
		if _, ok := v.issuer.Issues(v.clock(s.now), upstreamID); ok {
			issuers = append(issuers, v.id)
		}
	}
	if len(issuers) > 1 {
		return fmt.Sprintf("%s: %v issue permits at once", s.now, issuers)
	}
	if len(issuers) == 1 {
		s.issuing += elapsed
	}
	return s.checkSum()
}

// sumWindows are the windows over which the permits are counted, in rising order.
var sumWindows = []time.Duration{time.Second, 4 * time.Second}

// checkSum checks the number of units in the windows that end now.
func (s *simulation) checkSum() string {
	longest := sumWindows[len(sumWindows)-1]
	s.grants = slices.DeleteFunc(s.grants, func(at time.Duration) bool { return at < s.now-longest })
	burst := max(MaxUnits, s.perSecond*burstDuration.Seconds())
	for _, window := range sumWindows {
		n := 0
		for _, at := range s.grants {
			if at >= s.now-window {
				n++
			}
		}
		// A clock may run faster by the bounded drift.
		most := s.perSecond*freshness.AddDrift(window).Seconds() + burst
		if float64(n) > most {
			return fmt.Sprintf("%s: %d units in %s, most %v", s.now, n, window, most)
		}
	}
	return ""
}
