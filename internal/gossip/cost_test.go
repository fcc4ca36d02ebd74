package gossip

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// countedPair returns two services that do not run, and a function that returns
// the bytes exchanged between them since its last call.
func countedPair(t *testing.T) (services []*Service, bytes func() uint64) {
	var handlers []*telemetry.RPCs
	var inFlight atomic.Int64
	services = newServices(t, 2, func(next http.Handler) http.Handler {
		h := telemetry.CountRPCs(tally.NoopScope, next)
		handlers = append(handlers, h)
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			inFlight.Add(1)
			defer inFlight.Add(-1)
			h.ServeHTTP(w, r)
		})
	})
	for _, s := range services {
		s.detector = quarantine.New(quarantine.Limits{Threshold: 2, Hold: s.opts.Limits.Hold, MaxReports: 10_000})
	}
	return services, func() uint64 {
		// A response reaches the caller before its call is counted.
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if n := inFlight.Load(); n > 0 {
				return poll.Continue("%d calls in flight", n)
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond), poll.WithTimeout(30*time.Second))
		sum := uint64(0)
		for _, h := range handlers {
			for _, m := range h.TakeTotals() {
				sum += m.ReceivedBytes + m.SentBytes
			}
		}
		return sum
	}
}

// crashReport returns report number n of an entry VM, with a fingerprint of the
// usual length.
func crashReport(entry string, n int) *clusterpb.CrashReport {
	return &clusterpb.CrashReport{
		Service:             "lotboard",
		Fingerprint:         fmt.Sprintf("%032x", n),
		GeneralFingerprints: []string{fmt.Sprintf("%032x", n/2), fmt.Sprintf("%032x", n/4)},
		Upstream:            fmt.Sprintf("i-%010x", n),
		Incarnation:         uint64(n),
		Entry:               entry,
		Sequence:            uint64(n),
	}
}

// TestComparisonTransfersOnlyWhatDiffers guards against incident inc1: two gateways
// that differed in one crash report sent each other all of them, and this took
// up their links.
func TestComparisonTransfersOnlyWhatDiffers(t *testing.T) {
	const (
		shared = 1000
		// maxBytes is a percent of what a link of 1.5 Mbit/s carries in the
		// second between two comparisons.
		maxBytes = 1875
	)
	services, bytes := countedPair(t)
	for _, s := range services {
		for n := range shared {
			s.Merge([]*clusterpb.CrashReport{crashReport("e9#1", n+1)})
		}
	}
	services[0].Merge([]*clusterpb.CrashReport{crashReport("e8#1", 1)})
	services[1].Merge([]*clusterpb.CrashReport{crashReport("e7#1", 1)})
	services[0].compareWithRandomPeer(t.Context())
	assert.Equal(t, services[0].stateHash(), services[1].stateHash())
	got := bytes()
	assert.Assert(t, got <= maxBytes, "the comparison took %d bytes, expected at most %d", got, maxBytes)
}

// TestComparisonIsBoundedAndCatchesUp lets an entry VM without reports, as after a
// restart, compare with one that has many.
func TestComparisonIsBoundedAndCatchesUp(t *testing.T) {
	const (
		missing = 1000
		// maxBytes is an eighth of what a link of 1.5 Mbit/s carries in the
		// second between two comparisons.
		maxBytes = 23_437
		// maxRounds leaves half a minute for the whole set.
		maxRounds = 30
	)
	for _, behind := range []int{0, 1} {
		t.Run(fmt.Sprintf("service %d is behind", behind), func(t *testing.T) {
			services, bytes := countedPair(t)
			for n := range missing {
				services[1-behind].Merge([]*clusterpb.CrashReport{crashReport("e9#1", n+1)})
			}
			rounds := 0
			for ; rounds < maxRounds && services[0].stateHash() != services[1].stateHash(); rounds++ {
				services[0].compareWithRandomPeer(t.Context())
				got := bytes()
				assert.Assert(t, got <= maxBytes, "comparison %d took %d bytes, expected at most %d", rounds, got, maxBytes)
			}
			assert.Equal(t, services[0].stateHash(), services[1].stateHash())
		})
	}
}
