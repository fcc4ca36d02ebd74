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
}

func (c blockedConn) Write(b []byte) (int, error) {
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
	blocked chan struct{}
	begun   atomic.Int32
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
	w := blockedConn{ResponseRecorder: httptest.NewRecorder(), blocked: l.blocked, begun: &l.begun}
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

func (l *answeringLeader) announce(id string) {
	data, err := proto.Marshal(&catalogpb.Command{Kind: &catalogpb.Command_PutUpstream{PutUpstream: &catalogpb.Upstream{
		Id: id, Address: id + ":1", Zone: "a", Pool: "p", Slots: 1, StartedMs: 1, State: catalogpb.UpstreamState_UPSTREAM_STATE_READY,
	}}})
	assert.NilError(l.t, err)
	_, _, err = l.replica.Propose(context.Background(), data)
	assert.NilError(l.t, err)
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
