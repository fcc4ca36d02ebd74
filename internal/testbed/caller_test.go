package testbed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Pace of the callers in the tests.
const (
	callerPause = 10 * time.Millisecond
	answerFor   = 400 * time.Millisecond
)

// reply is one answer to a caller.
type reply struct {
	key    string
	status int
	run    string
	fault  string
	body   string
	err    error
	// sent and received bound the time of the call.
	sent     time.Time
	received time.Time
}

// answered reports whether the reply is a whole answer of an upstream.
func (r reply) answered() bool { return r.err == nil && r.status == http.StatusOK }

// notRun reports whether the reply says that the request did not run.
func (r reply) notRun() bool { return r.err == nil && r.run == "not run" }

// caller sends requests as the look-up tells it to.
type caller struct {
	c      *cluster
	client *http.Client
	mu     sync.Mutex
	known  []string
	until  time.Time
	next   int
}

func newCaller(c *cluster) *caller {
	return &caller{c: c, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}}
}

// address returns an entry VM to call, from the newest look-up answer.
func (u *caller) address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Now().After(u.until) {
		u.refresh()
	}
	if len(u.known) == 0 {
		return ""
	}
	u.next++
	return u.known[u.next%len(u.known)]
}

// refresh asks the entry VMs in turn until one answers.
func (u *caller) refresh() {
	for i := range u.c.callers {
		a, why := u.c.lookup((u.next + i) % len(u.c.callers))
		if why != "" || len(a.Entries) == 0 {
			continue
		}
		u.known = nil
		for _, e := range a.Entries {
			u.known = append(u.known, e.Address)
		}
		u.until = time.Now().Add(answerFor)
		return
	}
}

// send makes one call; an empty address asks the look-up.
func (u *caller) send(address, method, path, key string) reply {
	if address == "" {
		address = u.address()
	}
	sent := time.Now()
	r := u.exchange(address, method, path, key)
	r.sent, r.received = sent, time.Now()
	return r
}

func (u *caller) exchange(address, method, path, key string) reply {
	req, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return reply{key: key, err: err}
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := u.client.Do(req)
	if err != nil {
		return reply{key: key, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{
		key:    key,
		status: resp.StatusCode,
		run:    resp.Header.Get("Balsam-Run"),
		fault:  resp.Header.Get("Balsam-Fault"),
		body:   string(body),
		err:    err,
	}
}

// traffic is steady load that keeps the replies that are neither whole answers
// nor refusals that say "not run".
type traffic struct {
	cancel   context.CancelFunc
	done     sync.WaitGroup
	answered atomic.Int64
	refused  atomic.Int64
	mu       sync.Mutex
	bad      []string
}

// startTraffic starts n callers that read all the time.
func startTraffic(c *cluster, n int) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{cancel: cancel}
	for range n {
		t.done.Add(1)
		go func() {
			defer t.done.Done()
			t.loop(ctx, newCaller(c))
		}()
	}
	return t
}

func (t *traffic) loop(ctx context.Context, u *caller) {
	defer u.client.CloseIdleConnections()
	for ctx.Err() == nil {
		t.note(u.send("", "GET", "/booking/dates", ""))
		time.Sleep(callerPause)
	}
}

func (t *traffic) note(r reply) {
	switch {
	case r.answered():
		t.answered.Add(1)
	case r.notRun():
		t.refused.Add(1)
	default:
		t.mu.Lock()
		defer t.mu.Unlock()
		t.bad = append(t.bad, fmt.Sprintf("status %d run %q fault %q err %v", r.status, r.run, r.fault, r.err))
	}
}

// stop ends the load and returns the replies that must not be.
func (t *traffic) stop() []string {
	t.cancel()
	t.done.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bad
}
