package gossip

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/quarantine"
)

// startServices runs n services that know each other.
func startServices(t testing.TB, n int) []*Service {
	services := newServices(t, n, func(h http.Handler) http.Handler { return h })
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	for _, s := range services {
		running.Go(func() { s.Run(ctx) })
	}
	t.Cleanup(running.Wait)
	t.Cleanup(cancel)
	return services
}

// newServices returns n services that know each other but do not run; wrap is
// applied to each handler.
func newServices(t testing.TB, n int, wrap func(http.Handler) http.Handler) []*Service {
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
	v := configview.New(cfg)
	for _, s := range services {
		s.OnConfig(v)
	}
	return services
}

func isSuspect(s *Service, sig quarantine.Signature) bool {
	return s.Judge(sig).State != quarantine.Clear
}

// waitForState waits until the service decides so on the request.
func waitForState(t *testing.T, s *Service, sig quarantine.Signature, want quarantine.State) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := s.Judge(sig).State; got != want {
			return poll.Continue("state %d, want %d", got, want)
		}
		return poll.Success()
	})
}

func TestFlushedReportsAreKnownToAllEntryVMs(t *testing.T) {
	services := startServices(t, 4)
	r := quarantine.Signature{Service: "lotboard", Exact: "f"}
	services[0].Crashed(r, quarantine.Crash{Upstream: "u1", Incarnation: 1}, false)
	assert.NilError(t, services[0].Flush(context.Background()))
	for _, s := range services {
		assert.Assert(t, isSuspect(s, r))
		assert.Assert(t, s.Judge(r).Refusal() == nil)
	}
	services[1].Crashed(r, quarantine.Crash{Upstream: "u2", Incarnation: 1}, true)
	assert.NilError(t, services[1].Flush(context.Background()))
	for _, s := range services {
		waitForState(t, s, r, quarantine.Quarantined)
		assert.Equal(t, fault.KindOf(s.Judge(r).Refusal()), fault.Quarantined)
	}
	services[2].Release(r)
	assert.NilError(t, services[2].Flush(context.Background()))
	for _, s := range services {
		assert.Assert(t, !isSuspect(s, r))
	}
}

func TestReportThatWasNotPushedIsLearnedByComparison(t *testing.T) {
	services := startServices(t, 2)
	r := quarantine.Signature{Service: "lotboard", Exact: "f"}
	services[0].Merge([]*clusterpb.CrashReport{{Service: r.Service, Fingerprint: r.Exact, Upstream: "u1", Entry: "e9", Sequence: 1}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !isSuspect(services[1], r) {
			return poll.Continue("request is not yet suspect on the other entry VM")
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}

// Services without reports must stop calling each other once they have been
// answered. One that then gets a report must still spread it by comparison.
func TestEntryVMWithoutReportsStopsAskingAfterFirstAnswer(t *testing.T) {
	var calls atomic.Int64
	services := newServices(t, 3, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			next.ServeHTTP(w, r)
		})
	})
	for range 20 {
		for _, s := range services {
			s.compareWithRandomPeer(context.Background())
		}
	}
	assert.Equal(t, calls.Load(), int64(len(services)))
	r := quarantine.Signature{Service: "lotboard", Exact: "f"}
	services[0].Merge([]*clusterpb.CrashReport{{Service: r.Service, Fingerprint: r.Exact, Upstream: "u1", Entry: "e9", Sequence: 1}})
	for range 40 {
		services[0].compareWithRandomPeer(context.Background())
	}
	assert.Assert(t, isSuspect(services[1], r) && isSuspect(services[2], r))
}

// TestCrashIsLoggedWhereItWasSeen guards against incident inc1: most log lines of
// gateways repeated the reports of others. A quarantine takes effect
// everywhere, and is logged there.
func TestCrashIsLoggedWhereItWasSeen(t *testing.T) {
	services := newServices(t, 2, func(h http.Handler) http.Handler { return h })
	var logs [2]bytes.Buffer
	for i, s := range services {
		s.opts.Logger = event.NewLogger(&logs[i], zerolog.InfoLevel, "gateway", s.opts.EntryID)
	}
	count := func(i int, name string) int { return strings.Count(logs[i].String(), `"`+name+`"`) }
	r := quarantine.Signature{Service: "lotboard", Exact: "f"}
	crash := func(upstream string, trial bool) {
		report := services[0].Crashed(r, quarantine.Crash{Upstream: upstream, Incarnation: 1}, trial)
		services[1].Merge([]*clusterpb.CrashReport{report})
	}
	crash("u1", false)
	assert.Equal(t, count(0, "request_suspect"), 1)
	assert.Equal(t, count(1, "request_suspect"), 0)
	crash("u2", true)
	for i, s := range services {
		waitForState(t, s, r, quarantine.Quarantined)
		waitForState(t, s, r, quarantine.Quarantined)
		assert.Equal(t, count(i, "request_held_off"), 1)
	}
}

// TestVariantsThatCompleteElsewhereAreReleased guards against requests that are
// quarantined for the crashes of a variant: the entry VM that reports these has not
// seen the other variants complete, another one has.
func TestVariantsThatCompleteElsewhereAreReleased(t *testing.T) {
	services := startServices(t, 3)
	sign := func(caller string) quarantine.Signature {
		return quarantine.Signature{Service: "lotboard", Exact: caller, General: []string{"any caller"}}
	}
	for i, caller := range []string{"a", "b"} {
		services[i].Crashed(sign(caller), quarantine.Crash{Upstream: fmt.Sprint("u", i), Incarnation: 1}, i > 0)
		assert.NilError(t, services[i].Flush(context.Background()))
	}
	for _, s := range services {
		waitForState(t, s, sign("d"), quarantine.Quarantined)
	}
	services[2].Completed(sign("c"))
	assert.NilError(t, services[2].Flush(context.Background()))
	for _, s := range services {
		assert.Equal(t, s.Judge(sign("d")).State, quarantine.Clear)
	}
}

// TestReportsChangeDecisions checks that those who wait for another decision on a
// request learn of new reports.
func TestReportsChangeDecisions(t *testing.T) {
	s := newServices(t, 1, func(h http.Handler) http.Handler { return h })[0]
	r := quarantine.Signature{Service: "lotboard", Exact: "f"}
	before := s.Judge(r)
	report := s.Crashed(r, quarantine.Crash{Upstream: "u1", Incarnation: 1}, false)
	<-before.Changed
	after := s.Judge(r)
	assert.Equal(t, after.State, quarantine.Suspect)
	s.Merge([]*clusterpb.CrashReport{report})
	select {
	case <-after.Changed:
		t.Fatal("a report that is known already counts as new")
	default:
	}
	assert.Equal(t, len(s.ReportsAbout(quarantine.Request{Service: "lotboard", Fingerprint: "f"})), 1)
	assert.Equal(t, len(s.ReportsAbout(quarantine.Request{Service: "lotboard", Fingerprint: "g"})), 0)
}
