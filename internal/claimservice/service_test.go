package claimservice

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/telemetry/telemetrytest"
)

// cluster runs services of several entry VMs with HTTP servers on loopback.
type cluster struct {
	tb       testing.TB
	services map[string]*Service
	servers  map[string]*httptest.Server
	cancels  map[string]context.CancelFunc
	members  map[string]*catalogpb.ClaimMember
	epoch    *catalogpb.ClaimEpoch
	view     *configview.View
	wrap     func(http.Handler) http.Handler
	running  sync.WaitGroup
}

// newCluster starts n members. wrap, if not nil, wraps their HTTP handlers.
func newCluster(tb testing.TB, n int, wrap func(http.Handler) http.Handler) *cluster {
	c := &cluster{
		tb:       tb,
		wrap:     wrap,
		services: make(map[string]*Service),
		servers:  make(map[string]*httptest.Server),
		cancels:  make(map[string]context.CancelFunc),
		members:  make(map[string]*catalogpb.ClaimMember),
	}
	for i := range n {
		c.start(fmt.Sprintf("e%d", i), 1)
	}
	c.advanceAndConfigure()
	tb.Cleanup(func() {
		for id := range c.services {
			c.stop(id)
		}
		c.running.Wait()
	})
	return c
}

// start starts a service, which becomes a member with the next epoch.
func (c *cluster) start(id string, incarnation uint64) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConcurrentCalls}
	s := New(Options{
		EntryID:       id,
		Incarnation:   incarnation,
		Client:        &http.Client{Transport: transport},
		Limits:        claim.Limits{Retention: time.Minute, InProgressRetention: time.Hour, MaxClaims: 1 << 20, MaxResponseBytes: 1 << 20},
		MaxKeptBytes:  1 << 10,
		Timeout:       5 * time.Second,
		MaxStartDelay: time.Minute,
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.services[id] = s
	handler := s.Handler()
	if c.wrap != nil {
		handler = c.wrap(handler)
	}
	c.servers[id] = httptest.NewServer(handler)
	c.cancels[id] = cancel
	c.members[id] = &catalogpb.ClaimMember{Id: id, Incarnation: incarnation, Zone: "z" + id[1:]}
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		s.Run(ctx)
		transport.CloseIdleConnections()
	}()
}

func (c *cluster) stop(id string) {
	c.servers[id].CloseClientConnections()
	c.servers[id].Close()
	c.cancels[id]()
	delete(c.services, id)
}

// advanceAndConfigure advances the claim epoch and applies it to all services.
func (c *cluster) advanceAndConfigure() {
	c.advanceEpoch()
	for _, s := range c.services {
		s.OnConfig(c.view)
	}
}

// advanceEpoch advances the claim epoch to the started services, without applying
// it to them.
func (c *cluster) advanceEpoch() {
	var members []*catalogpb.ClaimMember
	var entries []*catalogpb.Entry
	for id := range c.services {
		members = append(members, c.members[id])
		address := strings.TrimPrefix(c.servers[id].URL, "http://")
		entries = append(entries, &catalogpb.Entry{Id: id, ClusterAddress: address})
	}
	c.epoch = claim.NextEpoch(c.epoch, members)
	c.view = configview.New(&catalogpb.Config{Entries: entries, ClaimEpoch: c.epoch})
}

func (c *cluster) begin(id, key string, digest byte) Decision {
	return c.services[id].Begin(context.Background(), "booking", key, [32]byte{digest})
}

// refusalKind returns the kind of a refusal, or "" for other decisions.
func refusalKind(d Decision) fault.Kind {
	if d.Kind != Refuse {
		return ""
	}
	return d.Refusal.Kind
}

func TestRetryThroughAnotherEntryVMGetsTheStoredResponse(t *testing.T) {
	c := newCluster(t, 5, nil)
	first := c.begin("e0", "k", 1)
	assert.Equal(t, first.Kind, Proceed)
	assert.Equal(t, refusalKind(c.begin("e1", "k", 1)), fault.StillRunning)
	assert.Equal(t, refusalKind(c.begin("e1", "k", 2)), fault.KeyConflict)
	assert.NilError(t, first.Claim.Start(context.Background()))
	first.Claim.Finish(&clusterpb.KeptAnswer{Status: 201, Body: []byte("sitting 7")})
	assert.NilError(t, c.services["e0"].Drain(context.Background()))
	again := c.begin("e2", "k", 1)
	assert.Equal(t, again.Kind, Replay)
	assert.Equal(t, string(again.Response.Body), "sitting 7")
	assert.Equal(t, refusalKind(c.begin("e2", "k", 3)), fault.KeyConflict)
}

func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	c := newCluster(t, 3, nil)
	first := c.begin("e0", "k", 1)
	first.Claim.Release()
	assert.NilError(t, c.services["e0"].Drain(context.Background()))
	assert.Equal(t, c.begin("e1", "k", 1).Kind, Proceed)
	assert.ErrorContains(t, first.Claim.Start(context.Background()), "ended")
}

func TestRetryAfterAnOversizedResponseIsRefused(t *testing.T) {
	c := newCluster(t, 3, nil)
	first := c.begin("e0", "k", 1)
	first.Claim.Finish(&clusterpb.KeptAnswer{Status: 200, Body: make([]byte, c.services["e0"].opts.MaxKeptBytes+1)})
	assert.NilError(t, c.services["e0"].Drain(context.Background()))
	assert.Equal(t, refusalKind(c.begin("e1", "k", 1)), fault.AlreadyRan)
}

func TestRestartedMemberSyncsBeforeItVotes(t *testing.T) {
	c := newCluster(t, 5, nil)
	done := c.begin("e0", "k", 1)
	done.Claim.Finish(&clusterpb.KeptAnswer{Status: 200})
	assert.NilError(t, c.services["e0"].Drain(context.Background()))
	lost := c.begin("e1", "lost", 1)
	assert.Equal(t, lost.Kind, Proceed)
	for i := range 5 {
		id := fmt.Sprintf("e%d", i)
		c.stop(id)
		c.start(id, 2)
		c.advanceAndConfigure()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !c.services[id].Synced() {
				return poll.Continue("%s is not synced", id)
			}
			return poll.Success()
		}, poll.WithTimeout(30*time.Second))
	}
	assert.Equal(t, c.begin("e3", "k", 1).Kind, Replay)
	assert.Equal(t, refusalKind(c.begin("e3", "lost", 1)), fault.OutcomeUnknown)
}

func TestHungMembersDoNotBlockADecision(t *testing.T) {
	hang := make(chan struct{})
	var hung atomic.Int32
	c := newCluster(t, 5, func(next http.Handler) http.Handler {
		if hung.Add(1) > 2 {
			return next
		}
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hang })
	})
	t.Cleanup(func() { close(hang) })
	d := c.begin("e4", "k", 1)
	assert.Equal(t, d.Kind, Proceed)
	d.Claim.Finish(&clusterpb.KeptAnswer{Status: 200})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if again := c.begin("e3", "k", 1); again.Kind != Replay {
			return poll.Continue("%v", again.Refusal)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}

func TestMembersLearnANewEpochFromSyncRequests(t *testing.T) {
	c := newCluster(t, 5, nil)
	c.stop("e4")
	c.start("e4", 2)
	c.advanceEpoch()
	c.services["e4"].OnConfig(c.view)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !c.services["e4"].Synced() {
			return poll.Continue("not synced")
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	learned := 0
	for _, s := range c.services {
		if s.history.Load().Epoch() == c.epoch.Epoch {
			learned++
		}
	}
	// The restarted member and the read quorum of its group: three of five members.
	assert.Assert(t, learned >= 1+3)
}

func TestCoordinatorLearnsANewEpochFromReplies(t *testing.T) {
	c := newCluster(t, 5, nil)
	c.start("e5", 1)
	c.services["e5"].OnConfig(c.view)
	c.stop("e4")
	c.start("e4", 2)
	c.advanceEpoch()
	for _, id := range []string{"e0", "e1", "e2", "e3"} {
		c.services[id].OnConfig(c.view)
	}
	assert.Equal(t, c.begin("e5", "k", 1).Kind, Proceed)
	assert.Equal(t, c.services["e5"].history.Load().Epoch(), c.epoch.Epoch)
}

// A service may receive a sync request with an epoch from another entry VM before
// its own first configuration.
func TestEpochBeforeTheFirstConfigurationIsAccepted(t *testing.T) {
	c := newCluster(t, 3, nil)
	s := New(Options{EntryID: "e0", Incarnation: 1, Client: http.DefaultClient})
	in := &clusterpb.ClaimBatch{Messages: []*clusterpb.ClaimMessage{{
		Kind:       clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_SYNC,
		ClaimEpoch: claim.NextEpoch(c.epoch, []*catalogpb.ClaimMember{c.members["e1"], {Id: "e0", Incarnation: 1}}),
	}}}
	_, err := s.Step(context.Background(), in)
	assert.NilError(t, err)
	s.tick()
}

func TestServedMetricsAreInTheCatalogue(t *testing.T) {
	m := telemetry.NewMetrics("entry", "e0")
	s := New(Options{EntryID: "e0", Incarnation: 1, Client: http.DefaultClient, Metrics: m.Scope})
	s.tick()
	s.metrics.Timer("decide").Record(time.Millisecond)
	assert.NilError(t, m.Close())
	served := telemetrytest.CheckMetrics(t, m.Handler(), "entry")
	assert.Assert(t, served["claims_records"] && served["claims_decide"])
}
