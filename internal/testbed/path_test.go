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

// conditionTimeout limits the wait for a condition. A healthy run needs only a
// small part of it.
const conditionTimeout = 60 * time.Second

// callTimeout limits one call of a test.
const callTimeout = 5 * time.Second

// waitFor polls until problem returns an empty string, and fails the test after
// conditionTimeout.
func waitFor(t *testing.T, what string, problem func() string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if why := problem(); why != "" {
			return poll.Continue("%s: %s", what, why)
		}
		return poll.Success()
	}, poll.WithTimeout(conditionTimeout), poll.WithDelay(100*time.Millisecond))
}

// configureBooking creates availability zones a and b, the booking service and
// a rule whose requests need an idempotency key.
func (c *cluster) configureBooking() {
	c.t.Helper()
	c.mustAdmin("zone", "put", "a", "--region", "local")
	c.mustAdmin("zone", "put", "b", "--region", "local")
	c.mustAdmin("service", "put", "booking", "--path-prefix", "/booking", "--slots", "2", "--cold-slots", "1", "--warm-after", "4")
	c.mustAdmin("rule", "put", "booking/pay", "--method", "POST", "--path", "/pay/:id", "--key-required")
}

// mustAdmin repeats an admin command until it succeeds: right after the start
// there may be no leader.
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

// startUpstreams starts n simulated upstreams of the booking service,
// alternately in zones a and b.
func (c *cluster) startUpstreams(n int) []*Upstream {
	c.t.Helper()
	return c.startUpstreamsWith(n, nil)
}

// startUpstreamsWith is startUpstreams with a handler that writes the responses.
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

// lookup asks an entry VM which entry VMs callers should use. The second result
// says why there is no answer; it is empty when there is one.
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

// call sends one request and returns the status and the body. For a failed call
// it returns status 0 and the error.
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

// servingProblem returns an empty string when a GET request through the entry VM
// gets an upstream's answer, otherwise the response or error.
func (c *cluster) servingProblem(entry int) string {
	status, body := call(c.callers[entry], "GET", "/booking/dates", "")
	if status != http.StatusOK || !strings.HasPrefix(body, "GET /booking/dates answered by up-") {
		return body
	}
	return ""
}

// awaitServing waits until every entry VM serves. The text in what describes the
// wait in failures.
func (c *cluster) awaitServing(what string) {
	c.t.Helper()
	for i := range c.entries {
		waitFor(c.t, what, func() string { return c.servingProblem(i) })
	}
}

// TestCallsSucceedAfterLossOfControlVMAndEntryVM guards against failures of the
// path from caller to upstream across separate processes, also after a control
// VM and an entry VM are killed.
func TestCallsSucceedAfterLossOfControlVMAndEntryVM(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.configureBooking()
	ups := c.startUpstreams(4)
	waitFor(t, "look-up", func() string {
		a, why := c.lookup(0)
		if why == "" && len(a.Entries) < 4 {
			why = "the look-up names fewer than 4 entry VMs"
		}
		return why
	})
	c.awaitServing("call")
	c.checkPaymentRunsOnce(ups, 0, 1, "pay-1")

	c.controls[0].kill()
	waitFor(t, "call after the loss of a control VM", func() string { return c.servingProblem(1) })
	c.mustAdmin("service", "put", "proofs", "--path-prefix", "/proofs")

	c.entries[0].kill()
	for i := 1; i < len(c.entries); i++ {
		waitFor(t, "call after the loss of an entry VM", func() string { return c.servingProblem(i) })
	}
	waitFor(t, "look-up without the lost entry VM", func() string {
		a, why := c.lookup(1)
		for _, e := range a.Entries {
			if e.ID == "entry-1" {
				why = "the look-up still names entry-1"
			}
		}
		return why
	})
	c.checkPaymentRunsOnce(ups, 2, 3, "pay-2")
	for i := 1; i < len(c.entries); i++ {
		assert.NilError(t, c.entries[i].stop())
	}
}

// checkPaymentRunsOnce sends the same payment through two entry VMs and checks
// that it ran once and that both got the same answer.
func (c *cluster) checkPaymentRunsOnce(ups []*Upstream, first, second int, key string) {
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
	var repeated string
	waitFor(c.t, "stored answer to the resent payment", func() string {
		status, body := call(c.callers[second], "POST", "/booking/pay/7", key)
		repeated = body
		// A rejection is not a failure: the entry VMs may not know yet that the
		// first run has ended, or may be taking over claims after a loss.
		if status != http.StatusOK {
			return body
		}
		return ""
	})
	assert.Equal(c.t, repeated, paid)
	runs := 0
	for _, u := range ups {
		runs += u.RunCount(key)
	}
	assert.Equal(c.t, runs, 1)
}
