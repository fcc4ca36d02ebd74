package gossip

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/view"
)

// serve starts n services that know each other.
func serve(t testing.TB, n int) []*Service {
	services := serveBehind(t, n, func(h http.Handler) http.Handler { return h })
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	for _, s := range services {
		running.Go(func() { s.Run(ctx) })
	}
	t.Cleanup(running.Wait)
	t.Cleanup(cancel)
	return services
}

// serveBehind returns n services that know each other and do nothing by
// themselves; wrap stands before each handler.
func serveBehind(t testing.TB, n int, wrap func(http.Handler) http.Handler) []*Service {
	var services []*Service
	cfg := &catalogpb.Config{}
	for i := range n {
		s := New(Options{
			EntryID:     fmt.Sprintf("e%d", i),
			Incarnation: 1,
			Client:      &http.Client{},
			Limits:      quarantine.Limits{Threshold: 2, Hold: time.Hour, MaxReports: 100},
		})
		server := httptest.NewServer(wrap(s.Handler()))
		t.Cleanup(server.Close)
		services = append(services, s)
		cfg.Entries = append(cfg.Entries, &catalogpb.Entry{Id: s.opts.EntryID, ClusterAddress: strings.TrimPrefix(server.URL, "http://")})
	}
	v := view.New(cfg)
	for _, s := range services {
		s.OnConfig(v)
	}
	return services
}

func TestFlushedReportsAreKnownEverywhere(t *testing.T) {
	services := serve(t, 4)
	r := quarantine.Request{Service: "lotboard", Fingerprint: "f"}
	services[0].Crashed(r, quarantine.Crash{Upstream: "u1", Incarnation: 1})
	assert.NilError(t, services[0].Flush(context.Background()))
	for _, s := range services {
		assert.Assert(t, s.Suspect(r))
		assert.Assert(t, s.Blocked(r) == nil)
	}
	services[1].Crashed(r, quarantine.Crash{Upstream: "u2", Incarnation: 1})
	assert.NilError(t, services[1].Flush(context.Background()))
	for _, s := range services {
		assert.Equal(t, fault.KindOf(s.Blocked(r)), fault.Quarantined)
	}
	services[2].Release(r)
	assert.NilError(t, services[2].Flush(context.Background()))
	for _, s := range services {
		assert.Assert(t, !s.Suspect(r))
	}
}

func TestEntryThatStartsLateLearnsTheEvidence(t *testing.T) {
	services := serve(t, 2)
	r := quarantine.Request{Service: "lotboard", Fingerprint: "f"}
	services[0].merge([]*clusterpb.CrashReport{{Service: r.Service, Fingerprint: r.Fingerprint, Upstream: "u1", Entry: "e9", Sequence: 1}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !services[1].Suspect(r) {
			return poll.Continue("not yet suspect")
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}

// TestNothingToTellIsQuiet lets services without evidence run for some time: each
// asks until it has been answered once. One that gets evidence then tells it to
// those that missed the push.
func TestNothingToTellIsQuiet(t *testing.T) {
	var calls atomic.Int64
	services := serveBehind(t, 3, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			next.ServeHTTP(w, r)
		})
	})
	for range 20 {
		for _, s := range services {
			s.compare(context.Background())
		}
	}
	assert.Equal(t, calls.Load(), int64(len(services)))
	r := quarantine.Request{Service: "lotboard", Fingerprint: "f"}
	services[0].merge([]*clusterpb.CrashReport{{Service: r.Service, Fingerprint: r.Fingerprint, Upstream: "u1", Entry: "e9", Sequence: 1}})
	for range 40 {
		services[0].compare(context.Background())
	}
	assert.Assert(t, services[1].Suspect(r) && services[2].Suspect(r))
}
