package claimservice

import (
	"fmt"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
)

// nonMember is the ID of a coordinator that is not a member, so that every vote
// needs an HTTP call.
const nonMember = "e9"

// BenchmarkClaim measures the time from Begin to the decision over loopback, one
// claim at a time. With synced=true, the members write and fsync a record before
// each reply.
func BenchmarkClaim(b *testing.B) {
	for _, members := range []int{3, 5} {
		for _, synced := range []bool{false, true} {
			name := fmt.Sprintf("members=%d/synced=%v", members, synced)
			b.Run(name, func(b *testing.B) { benchmarkClaims(b, members, synced, 1) })
		}
	}
}

// BenchmarkClaimParallel measures the CPU time of a claim on all members together,
// with several claims in progress at a time.
func BenchmarkClaimParallel(b *testing.B) {
	for _, members := range []int{3, 5} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) { benchmarkClaims(b, members, false, 16) })
	}
}

func benchmarkClaims(b *testing.B, members int, synced bool, parallel int) {
	var wrap func(http.Handler) http.Handler
	if synced {
		wrap = func(next http.Handler) http.Handler { return syncBeforeReply(b, next) }
	}
	c := newCluster(b, members, wrap)
	c.start(nonMember, 1)
	c.services[nonMember].OnConfig(c.view)
	var keys atomic.Int64
	h := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	results := make(chan time.Duration, 1024)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for d := range results {
			_ = h.RecordValue(d.Microseconds())
		}
	}()
	before := cpuTime()
	b.SetParallelism(max(1, parallel/runtime.GOMAXPROCS(0)))
	b.ResetTimer()
	if parallel == 1 {
		for range b.N {
			claimOnce(b, c, &keys, results)
		}
	} else {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				claimOnce(b, c, &keys, results)
			}
		})
	}
	b.StopTimer()
	close(results)
	<-done
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-µs/claim")
}

// claimOnce claims a new key through nonMember, finishes the claim and sends the
// time to the decision to results.
func claimOnce(b *testing.B, c *cluster, keys *atomic.Int64, results chan<- time.Duration) {
	n := keys.Add(1)
	startedAt := time.Now()
	d := c.begin(nonMember, fmt.Sprintf("key-%d", n), 1)
	results <- time.Since(startedAt)
	if d.Kind != Proceed {
		b.Errorf("refused: %v", d.Refusal)
		return
	}
	d.Claim.Finish(&clusterpb.KeptAnswer{Status: 201, Body: []byte("ok")})
}

// syncBeforeReply returns a handler that appends a record to a file and fsyncs it
// before it calls next.
func syncBeforeReply(b *testing.B, next http.Handler) http.Handler {
	f, err := os.CreateTemp(b.TempDir(), "journal")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Close() })
	record := make([]byte, 256)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = f.Write(record)
		_ = f.Sync()
		next.ServeHTTP(w, r)
	})
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkStoreClaim measures the time of a claim in the store alone, and the heap
// size of a record.
func BenchmarkStoreClaim(b *testing.B) {
	self := claim.Member{ID: "e0", Incarnation: 1}
	c := newCluster(b, 1, nil)
	store := claim.NewStore(self, claim.Limits{Retention: time.Hour, InProgressRetention: time.Hour, MaxClaims: 1 << 30, MaxResponseBytes: 1 << 30})
	store.UpdateHistory(0, claim.NewPlacementHistory(nil, c.epoch))
	var m0, m1 runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m0)
	b.ResetTimer()
	for i := range b.N {
		a := claim.NewAttempt("booking", fmt.Sprintf("6f1c9a52-0000-4000-8000-%012d", i), claim.Digest{1}, "e0/1", uint64(i))
		m := &clusterpb.ClaimMessage{
			Kind:   clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_CLAIM,
			Epoch:  1,
			Record: a.Record(clusterpb.ClaimState_CLAIM_STATE_CLAIMED),
		}
		if !store.Handle(0, m).Granted {
			b.Fatal("refused")
		}
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&m1)
	b.ReportMetric(float64(m1.HeapAlloc-m0.HeapAlloc)/float64(b.N), "B/record")
	runtime.KeepAlive(store)
}
