package control_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/control"
	"balsamcourse.example/balsamcourse/internal/control/controltest"
)

// blockedConn is a connection to a gateway that takes no bytes while blocked is set.
type blockedConn struct {
	*httptest.ResponseRecorder
	blocked <-chan struct{}
	begun   *atomic.Int32
	// processor is used to write an answer; nil means that it takes no time.
	processor *processor
}

// processor is one core, used by one at a time.
type processor struct {
	turn chan struct{}
	each time.Duration
	used atomic.Int64
}

func (p *processor) use() {
	p.turn <- struct{}{}
	time.Sleep(p.each)
	p.used.Add(int64(p.each))
	<-p.turn
}

func (c blockedConn) Write(b []byte) (int, error) {
	if c.processor != nil {
		c.processor.use()
	}
	if c.blocked != nil {
		c.begun.Add(1)
		<-c.blocked
	}
	return c.ResponseRecorder.Write(b)
}

// answeringLeader is a leader whose handlers are called without a network.
type answeringLeader struct {
	t       *testing.T
	replica *controltest.Replica
	handler http.Handler
	// blocked keeps answers from being written; nil means that none are.
	blocked   chan struct{}
	begun     atomic.Int32
	processor *processor
}

func newAnsweringLeader(t *testing.T) *answeringLeader {
	s := control.New(control.Options{})
	var log controltest.Log
	l := &answeringLeader{t: t, replica: log.Add("c1:1", s.StateMachine())}
	s.SetReplica(l.replica)
	l.handler = s.DistributionHandler()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return l
}

// RoundTrip implements http.RoundTripper.
func (l *answeringLeader) RoundTrip(r *http.Request) (*http.Response, error) {
	w := blockedConn{ResponseRecorder: httptest.NewRecorder(), blocked: l.blocked, begun: &l.begun, processor: l.processor}
	l.handler.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	resp := w.Result()
	body, err := io.ReadAll(resp.Body)
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, err
}

func (l *answeringLeader) renew(ctx context.Context, id string, revision uint64, synced bool) (*clusterpb.RenewResponse, error) {
	client := clusterpb.NewDistributionProtobufClient("http://c1:1", &http.Client{Transport: l})
	return client.Renew(ctx, &clusterpb.RenewRequest{
		Entry: &catalogpb.Entry{Id: id, ClusterAddress: id + ":1", Incarnation: 1, ServesStale: true}, ServesStale: true, Revision: revision, Synced: synced, WaitMs: 1000,
	})
}

// announce commits an upstream and returns the revision.
func (l *answeringLeader) announce(id string) uint64 {
	data, err := proto.Marshal(&catalogpb.Command{Kind: &catalogpb.Command_PutUpstream{PutUpstream: &catalogpb.Upstream{
		Id: id, Address: id + ":1", Zone: "a", Pool: "p", Slots: 1, StartedMs: 1, State: catalogpb.UpstreamState_UPSTREAM_STATE_READY,
	}}})
	assert.NilError(l.t, err)
	_, index, err := l.replica.Propose(context.Background(), data)
	assert.NilError(l.t, err)
	return index
}

// registerAll registers gateways and returns the revision that they hold.
func (l *answeringLeader) registerAll(n int) uint64 {
	var calls sync.WaitGroup
	var held atomic.Uint64
	for i := range n {
		calls.Go(func() {
			for revision, synced := uint64(0), false; !synced; {
				resp, err := l.renew(context.Background(), fmt.Sprint("g", i), revision, false)
				assert.Check(l.t, err == nil)
				revision, synced = max(revision, resp.GetRevision()), resp.GetLeaseMs() > 0
				held.Store(max(held.Load(), revision))
			}
		})
	}
	calls.Wait()
	return held.Load()
}

// TestNewsToAllGatewaysDoesNotStarveTheLeader guards against a leader that answers all
// gateways at once: on a fraction of a core its heartbeats wait behind the answers.
func TestNewsToAllGatewaysDoesNotStarveTheLeader(t *testing.T) {
	const (
		gateways = 449
		// An answer takes up to a millisecond of CPU time. With a quarter of a core, 16 hold
		// up a heartbeat by a tenth of the election timeout of 600 ms.
		mostAtOnce = 16
	)
	synctest.Test(t, func(t *testing.T) {
		l := newAnsweringLeader(t)
		revision := l.registerAll(gateways)
		// All gateways may be sent the next configuration at once.
		time.Sleep(time.Second)
		l.blocked = make(chan struct{})
		var calls sync.WaitGroup
		for i := range gateways {
			calls.Go(func() {
				resp, err := l.renew(t.Context(), fmt.Sprint("g", i), revision, true)
				assert.Check(t, err == nil && resp.Delta != nil, "%v", err)
			})
		}
		synctest.Wait()
		l.announce("u1")
		synctest.Wait()
		begun := l.begun.Load()
		assert.Check(t, begun > 0 && begun <= mostAtOnce, "%d answers are written at once", begun)
		// Connections that take no bytes hold up the others for a moment only.
		time.Sleep(time.Second)
		assert.Check(t, l.begun.Load() == gateways, "%d of %d answers have begun after a second", l.begun.Load(), gateways)
		close(l.blocked)
		calls.Wait()
	})
}

// TestContinuousNewsLeavesTheLeaderProcessorTime guards against a leader that is busy
// with answers to gateways alone while upstreams come and go: orders of operators and
// its heartbeats need the rest.
func TestContinuousNewsLeavesTheLeaderProcessorTime(t *testing.T) {
	const (
		gateways = 449
		// An answer takes 0.3 ms of CPU time, on a quarter of a core.
		perAnswer = 1200 * time.Microsecond
		newsEvery = 10 * time.Millisecond
		observed  = 10 * time.Second
		mostUsed  = 0.7
		// Changes must be in force within two seconds.
		oldest = 1500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		l := newAnsweringLeader(t)
		held := l.registerAll(gateways)
		l.processor = &processor{turn: make(chan struct{}, 1), each: perAnswer}
		ctx, cancel := context.WithCancel(t.Context())
		var calls sync.WaitGroup
		var oldestNews atomic.Int64
		start, committedAt := time.Now(), sync.Map{}
		for i := range gateways {
			calls.Go(func() {
				for revision := held; ctx.Err() == nil; {
					resp, err := l.renew(ctx, fmt.Sprint("g", i), revision, true)
					if err != nil {
						continue
					}
					// The first change that this gateway had not got before.
					if at, ok := committedAt.Load(revision + 1); ok && resp.Revision > revision {
						oldestNews.Store(max(oldestNews.Load(), int64(time.Since(at.(time.Time)))))
					}
					revision = max(revision, resp.Revision)
				}
			})
		}
		for n := 0; time.Since(start) < observed; n++ {
			index := l.announce(fmt.Sprint("u", n))
			committedAt.Store(index, time.Now())
			time.Sleep(newsEvery)
		}
		used := float64(l.processor.used.Load()) / float64(time.Since(start))
		assert.Check(t, used <= mostUsed, "answers take %.2f of the processor", used)
		assert.Check(t, time.Duration(oldestNews.Load()) <= oldest, "a change took %s to a gateway", time.Duration(oldestNews.Load()))
		cancel()
		calls.Wait()
	})
}
