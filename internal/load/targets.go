package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/lookup"
)

const (
	// minLookupInterval applies when the TTL of a look-up response is shorter.
	minLookupInterval = 100 * time.Millisecond
	// lookupTimeout limits one look-up request.
	lookupTimeout = 2 * time.Second
)

// targets holds the entry VMs that requests are sent to. refresh keeps the list
// up to date until its context is done.
type targets struct {
	plan     *Plan
	client   *http.Client
	response atomic.Pointer[lookup.Response]
	refresh  func(ctx context.Context)
}

func newTargets(ctx context.Context, plan *Plan) (*targets, error) {
	t := &targets{plan: plan, client: &http.Client{Transport: plan.Transport, Timeout: lookupTimeout}}
	if len(plan.Targets) > 0 {
		t.response.Store(&lookup.Response{Entries: plan.Targets})
		t.refresh = func(context.Context) {}
		return t, nil
	}
	answer, err := Lookup(ctx, t.client, plan.LookupAddresses, plan.Service, plan.Zone)
	if err != nil {
		return nil, err
	}
	if len(answer.Entries) == 0 {
		return nil, fault.New(fault.NoDispatcher, "look-up of service %q returned no entry VM", plan.Service)
	}
	t.response.Store(&answer)
	t.refresh = t.refreshLoop
	return t, nil
}

// refreshLoop repeats the look-up whenever the TTL of the last response has
// expired. It asks the entry VMs in that response first, in random order, and
// keeps the last response if the look-up fails or returns no entry VM.
func (t *targets) refreshLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		last := t.response.Load()
		ttl := max(time.Duration(last.TTLMs)*time.Millisecond, minLookupInterval)
		if !sleepUntil(ctx, timer, time.Now().Add(ttl)) {
			return
		}
		var addresses []string
		for _, i := range rand.Perm(len(last.Entries)) {
			addresses = append(addresses, last.Entries[i].Address)
		}
		addresses = append(addresses, t.plan.LookupAddresses...)
		answer, err := Lookup(ctx, t.client, addresses, t.plan.Service, t.plan.Zone)
		if err == nil && len(answer.Entries) > 0 {
			t.response.Store(&answer)
		}
	}
}

// pick returns the address of a random entry VM, chosen by weight from those not
// in tried, or from all of them if all have been tried.
func (t *targets) pick(tried []string) string {
	entries := t.response.Load().Entries
	total := 0
	for _, e := range entries {
		total += drawWeight(e, tried)
	}
	if total == 0 {
		return t.pick(nil)
	}
	n := rand.IntN(total)
	for _, e := range entries {
		n -= drawWeight(e, tried)
		if n < 0 {
			return e.Address
		}
	}
	return entries[0].Address
}

// drawWeight returns the weight of an entry VM in the random choice: 0 if it has
// been tried, and 1 if its weight is not set.
func drawWeight(e lookup.Entry, tried []string) int {
	if slices.Contains(tried, e.Address) {
		return 0
	}
	return max(e.Weight, 1)
}
