package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
)

// noticeSeeds is the number of histories of TestNoticesHoldThroughFaults.
var noticeSeeds = flag.Int("notice-seeds", 10, "number of histories of gateways and upstreams that leave and pause")

// Bounds of what an upstream gets after it has said that it leaves, or has asked
// for a pause, as the operators state them: nothing that a caller sent later than
// noticeDrain after the answer; and from noticeContact after the answer to the end
// of the pause at most pauseSlack requests.
const (
	noticeDrain   = 2 * time.Second
	noticeContact = 500 * time.Millisecond
	pauseSlack    = 2
)

// maxStall is the longest time for which the answers to a gateway are held back.
const maxStall = 3 * time.Second

// exchange is a request or probe that has reached an upstream, and what the
// answer said.
type exchange struct {
	gatewayStart string
	arrived      time.Duration
	// answered is when the answer was delivered to the gateway.
	answered time.Duration
	leaving  bool
	pause    time.Duration
}

// process is one start of an upstream.
type process struct {
	*limitedUpstream
	history   *noticeHistory
	address   string
	startedMs uint64
	rand      *rand.Rand

	leaving, pausing bool
	exchanges        []*exchange
}

// noticeHistory is a random history of one group of gateways and its upstreams.
type noticeHistory struct {
	t     *testing.T
	seed  uint64
	rand  *rand.Rand
	start time.Time
	group *gatewayGroup
	// old holds earlier configurations.
	old []*catalogpb.Config

	mu sync.Mutex
	// running holds the processes by address, all also those that have ended.
	running map[string]*process
	all     []*process
	// known holds the start that a gateway knows of each upstream: by gateway
	// start, then by ID.
	known map[string]map[string]uint64
	// stalled holds when the answers to a gateway are delivered again, by its ID.
	stalled map[string]time.Duration
	lastID  int
}

func newNoticeHistory(t *testing.T, seed uint64) *noticeHistory {
	h := &noticeHistory{
		t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 2)), start: time.Now(),
		running: make(map[string]*process), known: make(map[string]map[string]uint64), stalled: make(map[string]time.Duration),
	}
	ids := []string{"u1", "u2", "u3", "u4"}
	h.group = newGatewayGroup(t, 1+h.rand.IntN(4), ids[:2+h.rand.IntN(3)]...)
	cfg := h.group.cfg
	cfg.Pools = append(cfg.Pools, &catalogpb.Pool{Name: "q", HealthPath: "/health"})
	cfg.Routes[0].Shares = append(cfg.Routes[0].Shares, &catalogpb.RouteShare{Pool: "q", Weight: 1})
	for _, u := range cfg.Upstreams {
		h.startProcess(u, u.Id)
	}
	h.publish()
	return h
}

func (h *noticeHistory) now() time.Duration { return time.Since(h.start) }

// startProcess starts the upstream u of the configuration under the given ID, in
// place of the process at its address.
func (h *noticeHistory) startProcess(u *catalogpb.Upstream, id string) {
	g := h.group
	u.Id, u.StartedMs, u.State = id, u.StartedMs+1, catalogpb.UpstreamState_UPSTREAM_STATE_READY
	p := &process{
		limitedUpstream: &limitedUpstream{id: id, start: h.start, work: time.Duration(1+h.rand.IntN(50)) * time.Millisecond},
		history:         h, address: u.Address, startedMs: u.StartedMs, rand: rand.New(rand.NewPCG(h.seed, uint64(len(h.all)))),
	}
	p.setRespond(p.answer)
	h.mu.Lock()
	before := h.running[u.Address]
	h.running[u.Address] = p
	h.all = append(h.all, p)
	h.mu.Unlock()
	g.mu.Lock()
	g.upstreams[u.Address] = p.limitedUpstream
	g.mu.Unlock()
	if before != nil {
		before.kill()
	}
}

// publish brings the configuration of the group into force at all gateways that
// control reaches.
func (h *noticeHistory) publish() {
	h.group.cfg.Revision++
	cfg := proto.Clone(h.group.cfg).(*catalogpb.Config)
	h.old = append(h.old, cfg)
	for _, f := range h.group.forwarders {
		if !h.group.isCutOff(f) && !h.group.isStopped(f) {
			h.apply(f, cfg)
		}
	}
}

func (h *noticeHistory) apply(f *Forwarder, cfg *catalogpb.Config) {
	f.state.applyConfig(configview.New(cfg))
	known := make(map[string]uint64)
	for _, u := range cfg.Upstreams {
		known[u.Id] = u.StartedMs
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known[h.startOf(f)] = known
}

// startOf names the current start of the gateway.
func (h *noticeHistory) startOf(f *Forwarder) string {
	h.group.mu.Lock()
	defer h.group.mu.Unlock()
	id := f.state.gatewayID
	return fmt.Sprint(id, "#", h.group.starts[id])
}

// answer answers a request or a probe. What the gateway sends to another start of
// the upstream than it knows is not recorded.
func (p *process) answer(conn net.Conn, r *http.Request) answered {
	h := p.history
	id := r.Header.Get("Balsam-Request-Id")
	if r.Header.Get("Balsam-Expect-Upstream") != p.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 X\r\nBalsam-Request-Id: %s\r\n%s", id, answerEnd)
		return keptOpen
	}
	probe := r.URL.Path == "/health"
	x := &exchange{gatewayStart: conn.(startedConn).gatewayStart, arrived: h.now()}
	h.mu.Lock()
	if h.known[x.gatewayStart][p.id] == p.startedMs {
		p.exchanges = append(p.exchanges, x)
	}
	work := p.work
	if probe {
		work = time.Millisecond
	}
	gateway, _, _ := strings.Cut(x.gatewayStart, "#")
	wait := max(work, h.stalled[gateway]-h.now())
	h.mu.Unlock()
	time.Sleep(wait)
	head, ok := p.head(x, probe, id)
	if !ok {
		return broken
	}
	if _, err := fmt.Fprint(conn, head); err != nil {
		return broken
	}
	h.set(func() { x.answered = h.now() })
	return keptOpen
}

// head returns the answer to x, and false if the process has ended.
func (p *process) head(x *exchange, probe bool, id string) (string, bool) {
	h := p.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running[p.address] != p {
		return "", false
	}
	status, header := 200, ""
	if probe {
		header = "Balsam-Load: 0 0 100 100\r\n"
	} else {
		header = "Balsam-Request-Id: " + id + "\r\n"
	}
	if p.leaving {
		x.leaving = true
		header += "Balsam-Leaving: 1\r\n"
	}
	if p.pausing && p.rand.IntN(3) == 0 {
		x.pause = time.Duration(p.rand.IntN(5000)) * time.Millisecond
		status = 503
		header += fmt.Sprintf("Balsam-Not-Run: 1\r\nRetry-After: %.3f\r\n", x.pause.Seconds())
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\nBalsam-Upstream: %s\r\n%s%s", status, p.id, header, answerEnd), true
}

// step carries out one random change or fault.
func (h *noticeHistory) step() {
	g := h.group
	i := h.rand.IntN(len(g.forwarders))
	f := g.forwarders[i]
	u := g.cfg.Upstreams[h.rand.IntN(len(g.cfg.Upstreams))]
	h.mu.Lock()
	p := h.running[u.Address]
	h.mu.Unlock()
	switch h.rand.IntN(12) {
	case 0:
		h.set(func() { p.leaving = true })
	case 1, 2:
		h.set(func() { p.pausing = !p.pausing })
	case 3:
		h.startProcess(u, u.Id)
		h.publish()
	case 4:
		h.lastID++
		h.startProcess(u, fmt.Sprint("v", h.lastID))
		h.publish()
	case 5:
		u.Pool = []string{"p", "q"}[h.rand.IntN(2)]
		h.publish()
	case 6:
		u.State = catalogpb.UpstreamState(h.rand.IntN(len(catalogpb.UpstreamState_name)))
		h.publish()
	case 7:
		// A configuration without the upstream, or an older one.
		cfg := h.old[h.rand.IntN(len(h.old))]
		h.apply(f, cfg)
		h.publish()
	case 8:
		if !g.isStopped(f) {
			g.stop(f)
		} else {
			g.restart(h.t, i)
			h.apply(g.forwarders[i], proto.Clone(g.cfg).(*catalogpb.Config))
		}
	case 9:
		if g.isCutOff(f) {
			g.reconnect(f)
			h.publish()
		} else {
			g.cutOff(f)
		}
	case 10:
		h.set(func() { h.stalled[f.state.gatewayID] = h.now() + time.Duration(h.rand.Int64N(int64(maxStall))) })
	}
}

func (h *noticeHistory) set(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// check checks the bounds for all processes, and the stricter promise that nothing
// at all is sent after the answer. It returns how often an upstream has said that
// it leaves, and has asked for a pause.
func (h *noticeHistory) check() (leaving, pauses int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.all {
		for _, said := range p.exchanges {
			if said.answered == 0 || !said.leaving && said.pause == 0 {
				continue
			}
			if said.leaving {
				leaving++
			}
			if said.pause > 0 {
				pauses++
			}
			sent, sentAfterContact := 0, 0
			for _, x := range p.exchanges {
				if x.gatewayStart != said.gatewayStart || x.arrived <= said.answered {
					continue
				}
				assert.Assert(h.t, !said.leaving || x.arrived <= said.answered+noticeDrain, "seed %d: %s said at %s to %s that it leaves and got a request at %s", h.seed, p.id, said.answered, said.gatewayStart, x.arrived)
				assert.Assert(h.t, !said.leaving, "seed %d: %s said at %s to %s that it leaves and got a request at %s", h.seed, p.id, said.answered, said.gatewayStart, x.arrived)
				if x.arrived < said.answered+said.pause {
					sent++
					if x.arrived > said.answered+noticeContact {
						sentAfterContact++
					}
				}
			}
			assert.Assert(h.t, sentAfterContact <= pauseSlack, "seed %d: %s asked %s at %s for a pause of %s and got %d requests later than %s", h.seed, p.id, said.gatewayStart, said.answered, said.pause, sentAfterContact, noticeContact)
			assert.Assert(h.t, sent == 0, "seed %d: %s asked %s at %s for a pause of %s and got %d requests", h.seed, p.id, said.gatewayStart, said.answered, said.pause, sent)
		}
	}
	return leaving, pauses
}

// TestNoticesHoldThroughFaults plays random histories in which upstreams leave,
// pause, restart and change their pool, and gateways restart, are cut off from
// control, get older configurations and answers late, under calls to all gateways.
func TestNoticesHoldThroughFaults(t *testing.T) {
	t.Parallel()
	leaving, pauses := 0, 0
	for seed := range uint64(*noticeSeeds) {
		synctest.Test(t, func(t *testing.T) {
			h := newNoticeHistory(t, seed)
			interval := time.Duration(5+h.rand.IntN(100)) * time.Millisecond
			for range 30 {
				h.group.sendCalls(interval, time.Duration(h.rand.IntN(2000))*time.Millisecond)
				h.step()
			}
			// Lets the answers that are held back end.
			time.Sleep(maxStall)
			l, p := h.check()
			leaving, pauses = leaving+l, pauses+p
		})
		if t.Failed() {
			return
		}
	}
	assert.Assert(t, leaving > 0 && pauses > 0)
	t.Logf("%d answers said that the upstream leaves, %d asked for a pause", leaving, pauses)
}
