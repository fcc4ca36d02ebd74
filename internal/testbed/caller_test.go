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

const (
	// callInterval is the pause of a caller between two calls.
	callInterval = 10 * time.Millisecond
	// lookupValidity is less than the lookup_ttl_ms in the settings of the entry VMs.
	lookupValidity = 400 * time.Millisecond
)

// reply is the response to one call, or the error of the call.
type reply struct {
	key         string
	status      int
	runHeader   string
	faultHeader string
	body        string
	err         error
	// sent and received are the times just before and after the call.
	sent     time.Time
	received time.Time
}

// answered reports whether the reply is the complete answer of an upstream.
func (r reply) answered() bool { return r.err == nil && r.status == http.StatusOK }

// notRun reports whether the reply says that the request did not run.
func (r reply) notRun() bool { return r.err == nil && r.runHeader == "not run" }

// caller sends requests to the entry VMs that the look-up returns, in turn.
type caller struct {
	cluster    *cluster
	client     *http.Client
	mu         sync.Mutex
	addresses  []string
	validUntil time.Time
	next       int
}

func newCaller(c *cluster) *caller {
	return &caller{cluster: c, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}}
}

// address returns the address of the next entry VM to call. It is empty when
// no look-up has succeeded yet.
func (u *caller) address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Now().After(u.validUntil) {
		u.refresh()
	}
	if len(u.addresses) == 0 {
		return ""
	}
	u.next++
	return u.addresses[u.next%len(u.addresses)]
}

// refresh repeats the look-up at one entry VM after the other until one
// answers. If none does, the known addresses stay.
func (u *caller) refresh() {
	for i := range u.cluster.callers {
		a, why := u.cluster.lookup((u.next + i) % len(u.cluster.callers))
		if why != "" || len(a.Entries) == 0 {
			continue
		}
		u.addresses = nil
		for _, e := range a.Entries {
			u.addresses = append(u.addresses, e.Address)
		}
		u.validUntil = time.Now().Add(lookupValidity)
		return
	}
}

// send makes one call; with an empty address it calls an entry VM of the
// look-up.
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
		key:         key,
		status:      resp.StatusCode,
		runHeader:   resp.Header.Get("Balsam-Run"),
		faultHeader: resp.Header.Get("Balsam-Fault"),
		body:        string(body),
		err:         err,
	}
}

// traffic is constant background load. It counts complete answers and
// rejections that say "not run", and records every other reply as a failure.
type traffic struct {
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	answered atomic.Int64
	rejected atomic.Int64
	mu       sync.Mutex
	failures []string
}

// startTraffic starts n callers that send GET requests until stop.
func startTraffic(c *cluster, n int) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{cancel: cancel}
	for range n {
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			t.loop(ctx, newCaller(c))
		}()
	}
	return t
}

func (t *traffic) loop(ctx context.Context, u *caller) {
	defer u.client.CloseIdleConnections()
	for ctx.Err() == nil {
		t.record(u.send("", "GET", "/booking/dates", ""))
		time.Sleep(callInterval)
	}
}

func (t *traffic) record(r reply) {
	switch {
	case r.answered():
		t.answered.Add(1)
	case r.notRun():
		t.rejected.Add(1)
	default:
		t.mu.Lock()
		defer t.mu.Unlock()
		t.failures = append(t.failures, fmt.Sprintf("status %d run %q fault %q err %v", r.status, r.runHeader, r.faultHeader, r.err))
	}
}

// stop ends the load and returns the failures.
func (t *traffic) stop() []string {
	t.cancel()
	t.wg.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failures
}
