package baseline

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/dispatch"
)

var (
	trial       = flag.Bool("trial", false, "compare the policies in virtual time")
	trialQueues = flag.Int("trialqueues", 4, "queues that a request of the trial joins")
	trialQueue  = flag.Int("trialqueue", 1000, "requests that wait at an upstream of the trial before it sheds")
)

// The trial drives the pure policies with one queue per upstream, in virtual
// time and without a network.
const (
	trialMean     = 50 * time.Millisecond
	trialDeadline = 10 * time.Second
	trialEntries  = 20
	trialLag      = 100 * time.Millisecond
	trialWarmup   = 10 * time.Second
)

type trialSetup struct {
	zones, perZone, slots int
	load                  float64
	heavy                 bool
	fault                 string
	// queue is the number of requests an upstream lets wait; more are shed.
	queue  int
	length time.Duration
}

// job is one request.
type job struct {
	id      uint64
	entry   int
	arrived time.Duration
	avoid   []string
	tries   int
	polls   int
	at      int
	waiting []place
}

// place is a place in the queue of a cell.
type place struct {
	zone int
	id   uint64
}

// server is a stand-in upstream: slots, a short queue, and faults.
type server struct {
	id        string
	zone      int
	slots     int
	busy      int
	queue     []*run
	slow      float64
	coldLeft  int
	failFast  bool
	peakCold  int
	stallTill time.Duration
}

type run struct {
	j     *job
	begun time.Duration
	cost  time.Duration
}

type timer struct {
	at time.Duration
	n  int
	f  func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, k int) bool {
	return t[i].at < t[k].at || t[i].at == t[k].at && t[i].n < t[k].n
}
func (t timers) Swap(i, k int) { t[i], t[k] = t[k], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// bench is one run of one policy.
type bench struct {
	setup    trialSetup
	rng      *rand.Rand
	now      time.Duration
	timers   timers
	seq      int
	servers  []*server
	done     []time.Duration
	refused  int
	failed   int
	shed     int
	probes   time.Duration
	policy   trialPolicy
	arrivals int
	cuts     int
}

// trialPolicy is what a policy must do in the trial.
type trialPolicy interface {
	arrive(j *job)
	end(j *job, s *server, o clusterpb.Outcome, took time.Duration)
}

func (b *bench) after(d time.Duration, f func()) {
	b.seq++
	heap.Push(&b.timers, timer{b.now + d, b.seq, f})
}

func (b *bench) draw() time.Duration {
	if b.setup.heavy {
		const sigma = 1.3
		return time.Duration(float64(trialMean) * math.Exp(sigma*b.rng.NormFloat64()-sigma*sigma/2))
	}
	return time.Duration(float64(trialMean) * b.rng.ExpFloat64())
}

func (b *bench) send(j *job, s *server) {
	if s.failFast {
		b.after(time.Millisecond, func() { b.finish(j, s, clusterpb.Outcome_OUTCOME_FAILED, time.Millisecond) })
		return
	}
	if len(s.queue) >= b.setup.queue {
		b.shed++
		b.after(time.Millisecond, func() { b.finish(j, s, clusterpb.Outcome_OUTCOME_SHED, time.Millisecond) })
		return
	}
	r := &run{j: j, begun: b.now, cost: b.draw()}
	if s.coldLeft > 0 {
		s.peakCold = max(s.peakCold, s.busy+len(s.queue)+1)
	}
	if s.busy < s.slots {
		b.begin(s, r)
		return
	}
	s.queue = append(s.queue, r)
}

func (b *bench) begin(s *server, r *run) {
	s.busy++
	cost := time.Duration(float64(r.cost) * s.slow)
	if s.coldLeft > 0 {
		cost *= 3
	}
	cost += max(0, s.stallTill-b.now)
	b.after(cost, func() {
		s.busy--
		s.coldLeft = max(0, s.coldLeft-1)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			b.begin(s, next)
		}
		b.finish(r.j, s, clusterpb.Outcome_OUTCOME_OK, b.now-r.begun)
	})
}

func (b *bench) finish(j *job, s *server, o clusterpb.Outcome, took time.Duration) {
	b.policy.end(j, s, o, took)
	if o == clusterpb.Outcome_OUTCOME_OK {
		if j.arrived > trialWarmup {
			b.done = append(b.done, b.now-j.arrived)
		}
		return
	}
	j.tries++
	if j.tries >= 3 {
		if j.arrived > trialWarmup {
			b.failed++
		}
		return
	}
	j.avoid = append(slices.Clone(j.avoid), s.id)
	b.policy.arrive(j)
}

func (b *bench) run(p trialPolicy) {
	b.policy = p
	rate := b.setup.load * float64(len(b.servers)*b.setup.slots) / trialMean.Seconds()
	var arrive func()
	arrive = func() {
		b.arrivals++
		p.arrive(&job{id: uint64(b.arrivals), entry: b.rng.IntN(trialEntries), arrived: b.now})
		b.after(time.Duration(b.rng.ExpFloat64()/rate*1e9), arrive)
	}
	b.after(0, arrive)
	b.faults()
	for b.now < b.setup.length && len(b.timers) > 0 {
		t := heap.Pop(&b.timers).(timer)
		b.now = t.at
		t.f()
	}
}

// faults plays the fault of the setup on a few upstreams.
func (b *bench) faults() {
	second := time.Second
	for k := second * 10; k < b.setup.length; k += 10 * second {
		s := b.servers[b.rng.IntN(len(b.servers))]
		b.after(k, func() {
			switch b.setup.fault {
			case "straggler":
				s.slow = 10
				b.after(4*second, func() { s.slow = 1 })
			case "cold":
				s.coldLeft, s.peakCold = 20, 0
			case "failfast":
				s.failFast = true
				b.after(4*second, func() { s.failFast = false })
			}
		})
	}
	if b.setup.fault == "stall" {
		for k := time.Duration(0); k < b.setup.length; k += 500 * time.Millisecond {
			s := b.servers[b.rng.IntN(len(b.servers))]
			b.after(k, func() { s.stallTill = b.now + 200*time.Millisecond })
		}
	}
}

// spread is the baseline policies in the trial.
type spread struct {
	b       *bench
	policy  Policy
	pickers []*Picker
	targets [][]*Target
}

func newSpread(b *bench, policy Policy) *spread {
	p := &spread{b: b, policy: policy}
	for e := range trialEntries {
		p.pickers = append(p.pickers, NewPicker(policy, uint64(e)))
		var ts []*Target
		for _, s := range b.servers {
			ts = append(ts, &Target{ID: s.id, Slots: s.slots})
		}
		p.targets = append(p.targets, ts)
	}
	if policy == P2CShared {
		p.share()
	}
	return p
}

func (p *spread) share() {
	for e := range p.targets {
		for i := range p.b.servers {
			others := 0
			for o := range p.targets {
				if o != e {
					others += p.targets[o][i].Own
				}
			}
			p.targets[e][i].Others = others
		}
	}
	p.b.after(trialLag, p.share)
}

func (p *spread) arrive(j *job) {
	i := p.pickers[j.entry].Pick(p.targets[j.entry], j.avoid)
	p.targets[j.entry][i].Own++
	p.b.send(j, p.b.servers[i])
}

func (p *spread) end(j *job, s *server, _ clusterpb.Outcome, _ time.Duration) {
	i := slices.Index(p.b.servers, s)
	p.targets[j.entry][i].Own--
}

// cells is the dispatch by cells in the trial: own zone, one other without
// waiting, then the queue of the own zone with polls of others.
type cells struct {
	b     *bench
	cells []*dispatch.Cell
	jobs  map[uint64]*job
	next  uint64
}

func newCells(b *bench) *cells {
	p := &cells{b: b, jobs: make(map[uint64]*job)}
	for z := range b.setup.zones {
		c := dispatch.New(dispatch.Config{
			Slots: b.setup.slots, ColdSlots: 1, WarmAfter: 20, QueueLimit: 1000, Open: true,
			ProbePermille: 10, ProbeCost: 6 * time.Millisecond, Probing: true,
		}, 0, uint64(z))
		c.Step(0, dispatch.Accepted{})
		p.cells = append(p.cells, c)
	}
	p.announce()
	p.tick()
	return p
}

func (p *cells) announce() {
	for _, s := range p.b.servers {
		p.step(s.zone, dispatch.Announce{ID: s.id, Slots: s.slots, Incarnation: 1, Report: dispatch.ReportWarm})
	}
	p.b.after(500*time.Millisecond, p.announce)
}

func (p *cells) tick() {
	for z := range p.cells {
		p.step(z, dispatch.Tick{})
	}
	p.b.after(10*time.Millisecond, p.tick)
}

func (p *cells) arrive(j *job) {
	home := j.entry % len(p.cells)
	other := (home + 1 + p.b.rng.IntN(len(p.cells)-1)) % len(p.cells)
	for _, z := range []int{home, other} {
		if p.ask(j, z, 0) {
			return
		}
	}
	p.wait(j, home)
}

// wait queues at several cells at once; the first slot wins and the other
// places are given up.
func (p *cells) wait(j *job, home int) {
	j.at = -1
	for k := range min(*trialQueues, len(p.cells)) {
		z := home
		if k > 0 {
			z = (home + 1 + (j.polls+k)%(len(p.cells)-1)) % len(p.cells)
		}
		p.next++
		id := p.next
		j.waiting = append(j.waiting, place{z, id})
		p.jobs[id] = j
		p.step(z, dispatch.Acquire{Key: dispatch.Key{ID: id}, Deadline: p.b.now + trialDeadline, MaxWait: trialDeadline, Avoid: j.avoid, Queues: *trialQueues})
		if j.at >= 0 {
			return
		}
	}
}

// ask reports whether the job was granted at once.
func (p *cells) ask(j *job, z int, wait time.Duration) bool {
	p.next++
	j.id, j.at = p.next, -1
	p.jobs[j.id] = j
	p.step(z, dispatch.Acquire{Key: dispatch.Key{ID: j.id}, Deadline: p.b.now + trialDeadline, MaxWait: wait, Avoid: j.avoid})
	if j.at < 0 && wait == 0 {
		delete(p.jobs, j.id)
	}
	return j.at >= 0
}

func (p *cells) step(z int, ev dispatch.Event) {
	for _, a := range slices.Clone(p.cells[z].Step(p.b.now, ev)) {
		switch a := a.(type) {
		case dispatch.Grant:
			j := p.jobs[a.Key.ID]
			if j == nil {
				continue
			}
			delete(p.jobs, a.Key.ID)
			j.at, j.id = z, a.Key.ID
			for _, w := range j.waiting {
				if w.id != a.Key.ID {
					delete(p.jobs, w.id)
					p.b.after(0, func() { p.step(w.zone, dispatch.Cancel{Key: dispatch.Key{ID: w.id}}) })
				}
			}
			j.waiting = nil
			i := slices.IndexFunc(p.b.servers, func(s *server) bool { return s.id == a.Upstream })
			p.b.send(j, p.b.servers[i])
		case dispatch.Refuse:
			if acq, ok := ev.(dispatch.Acquire); !ok || acq.MaxWait > 0 {
				delete(p.jobs, a.Key.ID)
				p.b.refused++
			}
		case dispatch.StateChanged:
			if a.From == "warm" && p.b.now > trialWarmup {
				p.b.cuts++
			}
		case dispatch.Probe:
			s := p.b.servers[slices.IndexFunc(p.b.servers, func(s *server) bool { return s.id == a.Upstream })]
			took := min(a.Timeout, time.Duration(6e6*s.slow))
			p.b.probes += took
			p.b.after(took, func() {
				p.step(z, dispatch.ProbeDone{ID: a.ID, OK: took < a.Timeout && !s.failFast, Took: took})
			})
		}
	}
}

func (p *cells) end(j *job, s *server, o clusterpb.Outcome, took time.Duration) {
	p.step(s.zone, dispatch.Release{Key: dispatch.Key{ID: j.id}, Outcome: o, ServiceTime: took})
}

func newBench(setup trialSetup) *bench {
	b := &bench{setup: setup, rng: rand.New(rand.NewPCG(7, 7))}
	for z := range setup.zones {
		for i := range setup.perZone {
			b.servers = append(b.servers, &server{id: fmt.Sprintf("u%d-%d", z, i), zone: z, slots: setup.slots, slow: 1})
		}
	}
	return b
}

// TestTrial prints the table; it asserts nothing.
func TestTrial(t *testing.T) {
	if !*trial {
		t.Skip("run with -trial")
	}
	for _, heavy := range []bool{false, true} {
		for _, fault := range []string{"", "straggler", "cold", "failfast", "stall"} {
			for _, load := range []float64{0.5, 0.7, 0.85, 0.95} {
				if fault != "" && load != 0.85 {
					continue
				}
				setup := trialSetup{zones: 4, perZone: 5, slots: 2, load: load, heavy: heavy, fault: fault, queue: *trialQueue, length: 120 * time.Second}
				for _, policy := range []string{"random", "p2c", "p2c_shared", "cell"} {
					b := newBench(setup)
					if policy == "cell" {
						b.run(newCells(b))
					} else {
						b.run(newSpread(b, Policy(policy)))
					}
					b.print(policy)
				}
			}
		}
	}
}

func (b *bench) print(policy string) {
	slices.Sort(b.done)
	q := func(p float64) int64 { return b.done[int(p*float64(len(b.done)-1))].Milliseconds() }
	peak := 0
	for _, s := range b.servers {
		peak = max(peak, s.peakCold)
	}
	slotTime := b.setup.length * time.Duration(len(b.servers)*b.setup.slots)
	fmt.Printf("heavy=%-5v fault=%-9s load=%.2f %-10s p50=%4d p99=%5d p99.9=%5d done=%d/%d refused=%d failed=%d shed=%d peakCold=%d probes=%.3f%% cuts=%d\n",
		b.setup.heavy, b.setup.fault, b.setup.load, policy, q(.5), q(.99), q(.999), len(b.done), b.arrivals, b.refused, b.failed, b.shed, peak,
		100*float64(b.probes)/float64(slotTime), b.cuts)
}
