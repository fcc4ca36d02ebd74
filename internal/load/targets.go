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
	// minLookupTTL bounds how often the look-up is repeated.
	minLookupTTL = 100 * time.Millisecond
	// lookupTimeout bounds one look-up.
	lookupTimeout = 2 * time.Second
)

// targets holds the entry VMs that requests go to, as a caller keeps them.
type targets struct {
	plan    *Plan
	client  *http.Client
	answer  atomic.Pointer[lookup.Response]
	refresh func(ctx context.Context)
}

func newTargets(ctx context.Context, plan *Plan) (*targets, error) {
	t := &targets{plan: plan, client: &http.Client{Transport: plan.Transport, Timeout: lookupTimeout}}
	if len(plan.Targets) > 0 {
		t.answer.Store(&lookup.Response{Entries: plan.Targets})
		t.refresh = func(context.Context) {}
		return t, nil
	}
	answer, err := Lookup(ctx, t.client, plan.LookupAddresses, plan.Service, plan.Zone)
	if err != nil {
		return nil, err
	}
	if len(answer.Entries) == 0 {
		return nil, fault.New(fault.NoDispatcher, "the look-up names no entry VM")
	}
	t.answer.Store(&answer)
	t.refresh = t.lookupAgain
	return t, nil
}

// lookupAgain repeats the look-up each time its answer has run out. It asks
// the entry VMs of the last answer first.
func (t *targets) lookupAgain(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		last := t.answer.Load()
		ttl := max(time.Duration(last.TTLMs)*time.Millisecond, minLookupTTL)
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
			t.answer.Store(&answer)
		}
	}
}

// pick draws an entry VM by weight among those whose address is not in tried;
// when all are, it draws among all.
func (t *targets) pick(tried []string) string {
	entries := t.answer.Load().Entries
	total := 0
	for _, e := range entries {
		total += share(e, tried)
	}
	if total == 0 {
		return t.pick(nil)
	}
	n := rand.IntN(total)
	for _, e := range entries {
		n -= share(e, tried)
		if n < 0 {
			return e.Address
		}
	}
	return entries[0].Address
}

// share is the weight of an entry VM in a draw; unset weights count as 1.
func share(e lookup.Entry, tried []string) int {
	if slices.Contains(tried, e.Address) {
		return 0
	}
	return max(e.Weight, 1)
}
