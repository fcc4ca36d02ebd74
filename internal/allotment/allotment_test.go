package allotment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/permit"
)

// ready is the time in the replays from which issuers issue the burst.
const ready = 18 * time.Second

// hot makes the organisation offer 7.5 times its usual load, most of it at 20 of the
// gateways.
func (r *replay) hot(org int) {
	r.orgs[org].load *= 7.5
	r.place = func(o int) int {
		if o == org && r.random.IntN(5) > 0 {
			return r.random.IntN(min(20, len(r.gateways)))
		}
		return r.random.IntN(len(r.gateways))
	}
}

// issuerOf returns the gateway that issues the permits of the shard.
func (r *replay) issuerOf(org, shard int) *gatewayModel {
	id := r.gateways[0].leases.IssuerOf(Key(r.orgs[org].name, shard))
	for _, g := range r.gateways {
		if g.id == id {
			return g
		}
	}
	return nil
}

// Guards against refusals inside the allotment, and against a wait for permits in more
// than one call of 100, where most gateways see a request of an organisation only now
// and then.
func TestUsualLoadIsNotRefused(t *testing.T) {
	for _, burst := range []float64{0.5, 1} {
		r := newReplay(1, 195, skewed(83, 840), burst)
		r.run(ready)
		asks := r.asks
		r.waits = nil
		r.run(ready + 30*time.Second)
		t.Logf("burst %g s: refused %.5f, requests for permits per second %d, wait p99 %s, p99.9 %s", burst, r.refusedShare(ready), (r.asks-asks)/30, r.waitQuantile(0.99), r.waitQuantile(0.999))
		assert.Equal(t, r.refusedShare(ready), 0.0)
		assert.Assert(t, r.waitQuantile(0.99) <= time.Millisecond)
		assert.Equal(t, r.violation(), "")
	}
}

// Guards against an organisation that exceeds its allotment, that gets less than it, or
// that costs others theirs.
func TestHotOrganisationGetsItsAllotment(t *testing.T) {
	for _, c := range []struct {
		org int
		// even spreads the load of the organisation over all gateways.
		even bool
	}{{0, false}, {0, true}, {5, false}, {60, false}} {
		org := c.org
		r := newReplay(2, 195, skewed(83, 840), 1)
		r.run(ready)
		place := r.place
		if r.hot(org); c.even {
			r.place = place
		}
		asks := r.asks
		r.run(ready + 20*time.Second)
		o := r.orgs[org]
		ran := 0
		for _, at := range o.ran {
			if at > ready+5*time.Second {
				ran++
			}
		}
		share := float64(ran) / (15*o.limit.PerSecond + 3*o.limit.Burst)
		t.Logf("organisation %d, spread evenly %t: most in a window %d of %.1f, served %.3f of three windows, requests for permits per second %d", org, c.even, o.largestUse(0), testBounds.Most(o.limit), share, (r.asks-asks)/20)
		assert.Equal(t, r.violation(), "")
		assert.Assert(t, share > 0.95)
		for n, other := range r.orgs {
			if n != org {
				assert.Assert(t, len(other.refusedAt) == 0 || other.refusedAt[len(other.refusedAt)-1] < ready, other.name)
			}
		}
	}
}

// A limit that is lowered below the load is binding one window later.
func TestLowerLimitIsBindingAfterOneWindow(t *testing.T) {
	r := newReplay(3, 195, skewed(83, 840), 1)
	r.run(ready)
	r.hot(0)
	r.run(ready + 5*time.Second)
	o := r.orgs[0]
	o.limit = Limit{PerSecond: o.limit.PerSecond / 20, Burst: o.limit.Burst / 20}
	r.run(ready + 20*time.Second)
	t.Logf("most in a window %d of %.1f", o.largestUse(ready+10*time.Second), testBounds.Most(o.limit))
	assert.Assert(t, float64(o.largestUse(ready+10*time.Second)) <= testBounds.Most(o.limit))
}

// failures are what happens to gateways in the replays, each one failure.
var failures = []struct {
	name string
	run  func(r *replay)
}{
	{"issuer killed", func(r *replay) { r.issuerOf(0, 0).down = true }},
	{"issuer restarted", func(r *replay) { r.restart(r.issuerOf(0, 0)) }},
	{"issuer killed for 1.3 s", func(r *replay) {
		g := r.issuerOf(0, 0)
		g.down = true
		r.after(1300*time.Millisecond, func() { r.restart(g) })
	}},
	{"issuer frozen for 8 s", func(r *replay) {
		g := r.issuerOf(0, 0)
		g.frozen = true
		r.after(8*time.Second, func() { r.thaw(g) })
	}},
	{"issuer cut off for 8 s", func(r *replay) {
		g := r.issuerOf(0, 0)
		g.cut = true
		r.after(8*time.Second, func() { g.cut = false })
	}},
	{"a gateway restarts every second", func(r *replay) {
		for n, g := range r.gateways {
			r.after(time.Duration(n)*time.Second, func() { r.restart(g) })
		}
	}},
	{"control lost for 6 s", func(r *replay) {
		r.controlLost = true
		r.after(6*time.Second, func() {
			r.controlLost = false
			r.started = r.now
			for _, g := range r.gateways {
				g.leased = false
			}
		})
	}},
	{"all restarted", func(r *replay) {
		for _, g := range r.gateways {
			g.down = true
		}
		r.after(1300*time.Millisecond, func() {
			r.started = r.now
			for _, g := range r.gateways {
				r.restart(g)
			}
		})
	}},
}

// Guards against permits that are issued twice when issuers are lost and replaced, with
// an organisation at 7.5 times its load, and against refusals at the usual load while
// one of the issuers is lost.
func TestLostIssuers(t *testing.T) {
	for _, f := range failures {
		for _, load := range []string{"usual", "hot"} {
			t.Run(f.name+", "+load, func(t *testing.T) {
				r := newReplay(4, 195, skewed(83, 840), 1)
				r.run(ready)
				if load == "hot" {
					r.hot(0)
				}
				r.waits = nil
				f.run(r)
				r.run(ready + 20*time.Second)
				o := r.orgs[0]
				t.Logf("most in a window %d of %.1f, refused of all %.5f, wait p99 %s, p99.9 %s", o.largestUse(ready), testBounds.Most(o.limit), r.refusedShare(ready), r.waitQuantile(0.99), r.waitQuantile(0.999))
				assert.Equal(t, r.violation(), "")
				most := 0.002
				if f.name == "all restarted" {
					// Nobody issues until all have held a lease.
					most = 0.04
				}
				if load == "usual" {
					assert.Assert(t, r.refusedShare(ready) < most)
				}
			})
		}
	}
}

// With each rule disabled, a window is over the bound.
func TestReplaysDetectDisabledRules(t *testing.T) {
	t.Run("a new issuer issues no burst", func(t *testing.T) {
		// The burst is used up right before all gateways restart, and again after.
		for _, disabled := range []bool{false, true} {
			r := newReplay(4, 40, []float64{30}, 8)
			r.disabled.start = disabled
			for _, g := range r.gateways {
				g.issuer.rules = r.disabled
			}
			r.run(2 * ready)
			r.orgs[0].load *= 60
			r.run(2*ready + 400*time.Millisecond)
			r.started = r.now
			for _, g := range r.gateways {
				r.restart(g)
			}
			r.run(3 * ready)
			t.Logf("rule disabled: %t, most in a window %d of %.1f", disabled, r.orgs[0].largestUse(0), testBounds.Most(r.orgs[0].limit))
			assert.Equal(t, r.violation() != "", disabled)
		}
	})
	for _, disabled := range []bool{false, true} {
		used := useHeldPermits(disabled)
		t.Logf("permits of a window are counted: %t, used in a window: %d of %.1f", !disabled, used, testBounds.Most(heldLimit))
		assert.Equal(t, float64(used) > testBounds.Most(heldLimit), disabled)
	}
}

// heldLimit is that of an organisation that always asks for more.
var heldLimit = Limit{PerSecond: 300, Burst: 300}

// useHeldPermits returns the number of permits used in one window by entry VMs that
// first hold as many as they can, and from then on use those and all others.
func useHeldPermits(disabled bool) int {
	leases := permit.NewIssuer("a")
	leases.SetLive(0, []string{"a"})
	leases.RecordLease(0, time.Hour)
	i := NewIssuer("a", leases, testBounds)
	i.SetLive(0, []string{"a"})
	i.RecordLease(0, time.Hour)
	i.rules.window = disabled
	now, used := time.Minute, 0
	take := func() int {
		sum := 0
		for shard := range Shards {
			sum += i.Take(now, "o", shard, heldLimit, MaxUnits, 0).Granted
		}
		return sum
	}
	for end := now + testBounds.Validity(); now < end; now += 5 * time.Millisecond {
		used += take()
	}
	for end := now + testBounds.Window; now < end; now += 5 * time.Millisecond {
		used += take()
	}
	return used
}
