package testbed

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"balsamcourse.example/balsamcourse/internal/lookup"
)

// waitLimit bounds the wait for a condition; a healthy run needs little of it.
const waitLimit = 60 * time.Second

// callTimeout bounds one call of a test.
const callTimeout = 5 * time.Second

// waitFor polls until ok returns an empty string.
func waitFor(t *testing.T, what string, ok func() string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if why := ok(); why != "" {
			return poll.Continue("%s: %s", what, why)
		}
		return poll.Success()
	}, poll.WithTimeout(waitLimit), poll.WithDelay(100*time.Millisecond))
}

// configure creates a service with its availability zones and a rule.
func (c *cluster) configure() {
	c.t.Helper()
	c.mustAdmin("zone", "put", "a", "--region", "local")
	c.mustAdmin("zone", "put", "b", "--region", "local")
	c.mustAdmin("service", "put", "booking", "--path-prefix", "/booking", "--slots", "2", "--cold-slots", "1", "--warm-after", "4")
	c.mustAdmin("rule", "put", "booking/pay", "--method", "POST", "--path", "/pay/:id", "--key-required")
}

// mustAdmin repeats the command until it succeeds: right after the start there
// may be no leader.
func (c *cluster) mustAdmin(args ...string) {
	c.t.Helper()
	waitFor(c.t, strings.Join(args, " "), func() string {
		out, err := c.admin(args...)
		if err != nil {
			return out + err.Error()
		}
		return ""
	})
}

// startUpstreams starts n stand-ins of the booking service in zones a and b.
func (c *cluster) startUpstreams(n int) []*Upstream {
	c.t.Helper()
	return c.startUpstreamsWith(n, nil)
}

// startUpstreamsWith is startUpstreams with another handler.
func (c *cluster) startUpstreamsWith(n int, h http.HandlerFunc) []*Upstream {
	c.t.Helper()
	ups := make([]*Upstream, n)
	for i := range ups {
		u, err := StartUpstream(UpstreamOptions{
			Service:           "booking",
			Zone:              zones[i%2],
			ID:                "up-" + string(rune('1'+i)),
			Slots:             2,
			ColdSlots:         1,
			WarmAfter:         4,
			ServiceTime:       func(*rand.Rand) time.Duration { return 5 * time.Millisecond },
			AnnounceAddresses: c.announces,
			Seed:              uint64(i),
			Key:               upstreamKey,
			Handler:           h,
		})
		assert.NilError(c.t, err)
		c.t.Cleanup(u.Kill)
		ups[i] = u
	}
	return ups
}

// lookup asks the entry VM which entry VMs to use.
func (c *cluster) lookup(entry int) (lookup.Response, string) {
	var a lookup.Response
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + c.callers[entry] + "/v1/entries?service=booking")
	if err != nil {
		return a, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return a, resp.Status
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return a, err.Error()
	}
	return a, ""
}

// call sends one request and returns status and body; a failed call has
// status 0.
func call(address, method, path, key string) (int, string) {
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// serves reports whether the entry VM answers a read with its upstream's
// whole answer.
func (c *cluster) serves(entry int) string {
	status, body := call(c.callers[entry], "GET", "/booking/dates", "")
	if status != http.StatusOK || !strings.HasPrefix(body, "GET /booking/dates answered by up-") {
		return body
	}
	return ""
}

// awaitServing waits until every entry VM serves; what names the wait.
func (c *cluster) awaitServing(what string) {
	c.t.Helper()
	for i := range c.entries {
		waitFor(c.t, what, func() string { return c.serves(i) })
	}
}

// TestWholePath carries calls through separate processes, and goes on through
// the death of a control VM and of an entry VM.
func TestWholePath(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.configure()
	ups := c.startUpstreams(4)
	waitFor(t, "look-up", func() string {
		a, why := c.lookup(0)
		if why == "" && len(a.Entries) < 4 {
			why = "too few entries"
		}
		return why
	})
	c.awaitServing("call")
	c.payOnce(ups, 0, 1, "pay-1")

	c.controls[0].kill()
	waitFor(t, "call after the loss of a control VM", func() string { return c.serves(1) })
	c.mustAdmin("service", "put", "proofs", "--path-prefix", "/proofs")

	c.entries[0].kill()
	for i := 1; i < len(c.entries); i++ {
		waitFor(t, "call after the loss of an entry VM", func() string { return c.serves(i) })
	}
	waitFor(t, "look-up without the lost entry VM", func() string {
		a, why := c.lookup(1)
		for _, e := range a.Entries {
			if e.ID == "entry-1" {
				why = "still named"
			}
		}
		return why
	})
	c.payOnce(ups, 2, 3, "pay-2")
	for i := 1; i < len(c.entries); i++ {
		assert.NilError(t, c.entries[i].stop())
	}
}

// payOnce sends the same payment through two entry VMs and checks that it ran
// once and that the resend got the same answer.
func (c *cluster) payOnce(ups []*Upstream, first, second int, key string) {
	c.t.Helper()
	var paid string
	waitFor(c.t, "payment", func() string {
		status, body := call(c.callers[first], "POST", "/booking/pay/7", key)
		paid = body
		if status != http.StatusOK {
			return body
		}
		return ""
	})
	var again string
	waitFor(c.t, "kept answer", func() string {
		status, body := call(c.callers[second], "POST", "/booking/pay/7", key)
		again = body
		// The members may not have heard of the end of the first run yet, or be
		// taking over claims after a loss: the refusal says when to come back.
		if status != http.StatusOK {
			return body
		}
		return ""
	})
	assert.Equal(c.t, again, paid)
	runs := 0
	for _, u := range ups {
		runs += u.RunCount(key)
	}
	assert.Equal(c.t, runs, 1)
}
