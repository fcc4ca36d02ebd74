package configsync_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/wait"
)

// After a loss of power, the control VM that was not up yet when it was first asked may
// be the leader. While it was avoided for 3 s, the other control VMs were asked again and
// again, and there was no lease.
func TestLeaderThatStartedLateIsAskedAgainSoon(t *testing.T) {
	c := newCluster(t)
	leader, follower := c.control[0], c.control[1]
	var failed atomic.Bool
	var askedFollower atomic.Int64
	intercept(leader, func(w http.ResponseWriter) bool {
		if failed.Swap(true) {
			return false
		}
		w.WriteHeader(http.StatusBadGateway)
		return true
	})
	intercept(follower, func(http.ResponseWriter) bool {
		askedFollower.Add(1)
		return false
	})
	// The second address is asked first.
	s, _ := c.start("e1", "a", follower.address(), leader.address())
	for !s.Fresh() {
		wait.For(t.Context(), 5*time.Millisecond)
	}
	assert.Assert(t, failed.Load())
	assert.Assert(t, askedFollower.Load() <= 15, "asked the follower %d times", askedFollower.Load())
}

// intercept lets f answer renewals at p; f reports whether it has.
func intercept(p *process, f func(http.ResponseWriter) bool) {
	next := p.mux.Load()
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/Renew") && f(w) {
			return
		}
		next.ServeHTTP(w, r)
	})
	p.mux.Store(mux)
}
